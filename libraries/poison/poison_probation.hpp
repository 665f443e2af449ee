/// @file
/// When a confirmed request may be tried again.
#pragma once

#include "poison_options.hpp"
#include "poison_record.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace daleshelf
{

/// Lets one host at a time try a confirmed request once: the host claims the
/// next trial in the record, and uses the claim when all others can have heard
/// of it. After each trial that ended a server the wait doubles.
class poison_probation
{
public:
    explicit poison_probation(const poison_options& options)
        : m_options(options)
    {
    }

    /// @return the time until the request may be tried again
    [[nodiscard]] absl::Duration time_to_trial(const poison_record& record,
                                               absl::Time now) const;

    /// @return whether a claimed trial is not used up or lost yet
    [[nodiscard]] bool is_trial_open(const poison_record& record,
                                     absl::Time now) const;

    /// Uses this host's own claim.
    /// @return whether the request may be sent once now
    [[nodiscard]] bool use_claim(const poison_record& record,
                                 const host_id& self, absl::Time now);

    /// Claims the next trial for this host, in the record.
    void claim(poison_record& record, const host_id& self, absl::Time now);

private:
    [[nodiscard]] absl::Duration wait_of(const poison_record& record) const;

    poison_options m_options;
    std::optional<std::int64_t> m_used_trial;
};

} // namespace daleshelf
