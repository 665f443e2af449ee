#include "probe_schedule.hpp"

#include <algorithm>

namespace daleshelf
{

absl::Duration probe_schedule::probe_delay_of(const poison_record& record) const
{
    auto wait = m_options.first_probe_delay;
    for (std::int64_t probe = 0;
         probe < record.probe.number && wait < m_options.probe_delay_limit;
         ++probe)
    {
        wait *= 2;
    }
    return std::min(wait, m_options.probe_delay_limit);
}

absl::Duration probe_schedule::time_to_probe(const poison_record& record,
                                             absl::Time now) const
{
    const auto since = std::max(record.last_crash(), record.probe.claimed_at);
    return std::max(absl::ZeroDuration(), since + probe_delay_of(record) - now);
}

bool probe_schedule::is_probe_pending(const poison_record& record,
                                      absl::Time now) const
{
    return record.probe.number > 0 &&
           record.last_crash() < record.probe.claimed_at &&
           now - record.probe.claimed_at < m_options.probe_timeout;
}

bool probe_schedule::use_claim(const poison_record& record, const host_id& self,
                               absl::Time now)
{
    const bool is_usable =
        record.probe.host == self &&
        now - record.probe.claimed_at >= m_options.claim_delay &&
        m_used_probe != record.probe.number;
    if (is_usable)
    {
        m_used_probe = record.probe.number;
    }
    return is_usable;
}

void probe_schedule::claim(poison_record& record, const host_id& self,
                           absl::Time now)
{
    record.probe = {record.probe.number + 1, self, now};
    m_used_probe.reset();
}

} // namespace daleshelf
