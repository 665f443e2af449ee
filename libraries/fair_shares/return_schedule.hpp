/// @file
/// Times at which clients may repeat requests that were rejected.
#pragma once

#include <absl/time/time.h>

#include <map>

namespace daleshelf
{

/// Spreads the retry times of rejected requests over the capacity that is
/// expected to become free, so that a crowd does not return at once. Does no
/// I/O. See docs/hard-load.md, part 4.
class return_schedule
{
public:
    /// What a retry time depends on.
    struct rejected_request
    {
        absl::Duration earliest; ///< no capacity is expected before
        absl::Duration latest;   ///< the client does not wait for longer
        double per_second = 0;   ///< requests that this host may expect to
                                 ///< serve beyond those admitted now
        double random = 0;       ///< from 0 to 1
    };

    /// Reserves a time.
    /// @return the delay after which the client may return, from `earliest` to
    /// `latest`; `latest` if it is before `earliest`
    [[nodiscard]] absl::Duration reserve(const rejected_request& request,
                                         absl::Time now);

private:
    [[nodiscard]] absl::Time first_free(absl::Time from,
                                        absl::Duration step) const;

    /// Ends of the intervals that are reserved, each for one request, by start.
    std::map<absl::Time, absl::Time> m_reserved;
};

} // namespace daleshelf
