#include "load_table.hpp"

#include <algorithm>

namespace daleshelf
{

std::int64_t upstream_load::estimate() const
{
    // The report knows the other entry hosts' requests but is late; what was
    // sent since is not in it.
    return std::max(in_flight,
                    report.running + report.waiting + sent_since_report);
}

upstream_load load_table::load(const upstream_id& id) const
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_loads.find(id);
    return found == m_loads.end() ? upstream_load() : found->second;
}

bool load_table::try_begin(const upstream_id& id, std::int64_t limit)
{
    absl::MutexLock lock(&m_mutex);
    auto& load = m_loads[id];
    if (load.estimate() >= limit)
    {
        return false;
    }
    ++load.in_flight;
    ++load.sent_since_report;
    return true;
}

void load_table::begin(const upstream_id& id)
{
    absl::MutexLock lock(&m_mutex);
    auto& load = m_loads[id];
    ++load.in_flight;
    ++load.sent_since_report;
}

void load_table::end(const upstream_id& id)
{
    absl::MutexLock lock(&m_mutex);
    auto& load = m_loads[id];
    --load.in_flight;
    // What has ended is not there any more, reported or not.
    load.sent_since_report = std::max<std::int64_t>(
        0, std::min(load.sent_since_report, load.in_flight));
}

void load_table::set_report(const upstream_id& id, const load_report& report)
{
    absl::MutexLock lock(&m_mutex);
    auto& load = m_loads[id];
    load.report = report;
    load.sent_since_report = 0;
    load.is_leaving = load.is_leaving || report.is_leaving;
}

void load_table::set_leaving(const upstream_id& id)
{
    absl::MutexLock lock(&m_mutex);
    m_loads[id].is_leaving = true;
}

void load_table::set_failed(const upstream_id& id, absl::Time until)
{
    absl::MutexLock lock(&m_mutex);
    auto& load = m_loads[id];
    load.failed_until = std::max(load.failed_until, until);
}

} // namespace daleshelf
