/// @file
/// How many servers the requests of all machines keep busy.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <deque>
#include <map>

namespace daleshelf
{

/// Turns the work that machines have asked for since their starts into a
/// rate: servers kept busy, as the highest of the last seconds.
class demand_meter
{
public:
    /// @param memory for how long a peak counts
    explicit demand_meter(absl::Duration memory) : m_memory(memory) {}

    /// Takes what each machine has asked for so far.
    /// @param work milliseconds of servers, by machine
    void note(const std::map<host_id, double>& work, absl::Time now);

    /// @return servers that are kept busy
    [[nodiscard]] double busy() const;

private:
    struct sample
    {
        absl::Time at;
        double busy = 0;
    };

    absl::Duration m_memory;
    std::map<host_id, double> m_last;
    double m_sum = 0; ///< of work since the last sample
    absl::Time m_sampled_at = absl::InfinitePast();
    std::deque<sample> m_rates;
};

} // namespace daleshelf
