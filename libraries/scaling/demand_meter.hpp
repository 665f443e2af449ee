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

/// Turns the work that hosts have sent since their starts into rates.
class demand_meter
{
public:
    /// @param memory for how long a peak counts
    explicit demand_meter(absl::Duration memory) : m_memory(memory) {}

    /// Takes what each host has sent so far.
    void note(const std::map<host_id, service_work>& work, absl::Time now);

    /// @return work a second, each figure the highest of the last seconds
    [[nodiscard]] service_work peak() const;

private:
    struct sample
    {
        absl::Time at;
        service_work rate;
    };

    absl::Duration m_memory;
    std::map<host_id, service_work> m_last;
    service_work m_sum; ///< since the last sample
    absl::Time m_sampled_at = absl::InfinitePast();
    std::deque<sample> m_rates;
};

} // namespace daleshelf
