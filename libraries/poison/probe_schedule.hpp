/// @file
/// Probes that find out whether a confirmed request still crashes upstreams.
#pragma once

#include "poison_options.hpp"
#include "poison_record.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace daleshelf
{

/// Lets one host at a time send a confirmed request once: the host claims the
/// next probe in the record, and uses the claim once it has had time to reach
/// all other hosts. The delay doubles with each probe.
class probe_schedule
{
public:
    explicit probe_schedule(const poison_options& options) : m_options(options)
    {
    }

    /// @return the time until the next probe is due
    [[nodiscard]] absl::Duration time_to_probe(const poison_record& record,
                                               absl::Time now) const;

    /// @return whether a claimed probe has neither crashed an upstream nor
    /// timed out yet
    [[nodiscard]] bool is_probe_pending(const poison_record& record,
                                        absl::Time now) const;

    /// Uses this host's own claim, at most once.
    /// @return whether the request may be sent once now
    [[nodiscard]] bool use_claim(const poison_record& record,
                                 const host_id& self, absl::Time now);

    /// Claims the next probe for this host, in the record.
    void claim(poison_record& record, const host_id& self, absl::Time now);

private:
    [[nodiscard]] absl::Duration
    probe_delay_of(const poison_record& record) const;

    poison_options m_options;
    std::optional<std::int64_t> m_used_probe;
};

} // namespace daleshelf
