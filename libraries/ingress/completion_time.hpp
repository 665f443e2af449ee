/// @file
/// Estimate of how long requests take from their sending to their end.
#pragma once

#include <absl/time/time.h>

#include <optional>

namespace daleshelf
{

/// Follows the mean of the observed times and their mean deviation, as the
/// estimate of round-trip times does (RFC 6298).
class completion_time
{
public:
    /// Adds the time that one request took, or after which it had not ended.
    void observe(absl::Duration time);

    /// @return a time within which most requests end; nothing if none was
    /// observed
    [[nodiscard]] std::optional<absl::Duration> upper_estimate() const;

private:
    std::optional<absl::Duration> m_mean;
    absl::Duration m_deviation;
};

} // namespace daleshelf
