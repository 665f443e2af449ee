/// @file
/// Rate of the work that all hosts send to a service.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <deque>
#include <engines/service_work.hpp>
#include <map>

namespace daleshelf
{

/// Cumulative work that one host reports to have sent to a service since its
/// start.
struct reported_work
{
    service_work work;
    absl::Time reported_at; ///< time of receipt
};

/// Derives rates from the cumulative work of all hosts.
class demand_meter
{
public:
    /// @param retention time window of the peak
    explicit demand_meter(absl::Duration retention) : m_retention(retention) {}

    /// Updates the rates. Work is spread over the time since the previous
    /// report of its host.
    /// @param work newest report of each host
    /// @param now present time
    void update(const std::map<host_id, reported_work>& work, absl::Time now);

    /// @return work per second, each field at its highest rate in the window
    [[nodiscard]] service_work peak() const;

private:
    struct sample
    {
        absl::Time at;
        service_work rate;
    };

    /// State of one host, from its reports.
    struct tracked_host
    {
        reported_work last;
        service_work rate; ///< of a host that reports infrequently
        absl::Time rate_until = absl::InfinitePast();
    };

    void update(tracked_host& host, const reported_work& reported);
    [[nodiscard]] service_work slow_reporter_rates(absl::Time now) const;

    absl::Duration m_retention;
    std::map<host_id, tracked_host> m_hosts;
    service_work m_unsampled_work; ///< since the last sample
    absl::Time m_sampled_at = absl::InfinitePast();
    std::deque<sample> m_rates;
};

} // namespace daleshelf
