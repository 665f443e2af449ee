/// @file
/// What the requests of all hosts ask of a service, a second.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <deque>
#include <engines/service_work.hpp>
#include <map>

namespace daleshelf
{

/// What one host has sent to a service since its start, as it told it.
struct told_work
{
    service_work work;
    absl::Time told_at; ///< when that was heard
};

/// Turns the work that hosts have sent since their starts into rates.
class demand_meter
{
public:
    /// @param memory for how long a peak counts
    explicit demand_meter(absl::Duration memory) : m_memory(memory) {}

    /// Takes what each host has sent so far. What a host tells late was done in
    /// all the time since it told before.
    void note(const std::map<host_id, told_work>& work, absl::Time now);

    /// @return work a second, each figure the highest of the last seconds
    [[nodiscard]] service_work peak() const;

private:
    struct sample
    {
        absl::Time at;
        service_work rate;
    };

    /// What was last heard of one host.
    struct heard_host
    {
        told_work last;
        service_work rate; ///< of one that tells rarely
        absl::Time rate_until = absl::InfinitePast();
    };

    void note(heard_host& host, const told_work& told);
    [[nodiscard]] service_work told_rates(absl::Time now) const;

    absl::Duration m_memory;
    std::map<host_id, heard_host> m_hosts;
    service_work m_sum; ///< since the last sample
    absl::Time m_sampled_at = absl::InfinitePast();
    std::deque<sample> m_rates;
};

} // namespace daleshelf
