#include "poison_probation.hpp"

#include <algorithm>

namespace daleshelf
{

absl::Duration poison_probation::wait_of(const poison_record& record) const
{
    auto wait = m_options.first_trial;
    for (std::int64_t trial = 0;
         trial < record.trial.number && wait < m_options.longest_trial; ++trial)
    {
        wait *= 2;
    }
    return std::min(wait, m_options.longest_trial);
}

absl::Duration poison_probation::time_to_trial(const poison_record& record,
                                               absl::Time now) const
{
    const auto since = std::max(record.last_end(), record.trial.claimed_at);
    return std::max(absl::ZeroDuration(), since + wait_of(record) - now);
}

bool poison_probation::is_trial_open(const poison_record& record,
                                     absl::Time now) const
{
    return record.trial.number > 0 &&
           record.last_end() < record.trial.claimed_at &&
           now - record.trial.claimed_at < m_options.trial_time;
}

bool poison_probation::use_claim(const poison_record& record,
                                 const host_id& self, absl::Time now)
{
    const bool is_usable =
        record.trial.host == self &&
        now - record.trial.claimed_at >= m_options.claim_time &&
        m_used_trial != record.trial.number;
    if (is_usable)
    {
        m_used_trial = record.trial.number;
    }
    return is_usable;
}

void poison_probation::claim(poison_record& record, const host_id& self,
                             absl::Time now)
{
    record.trial = {record.trial.number + 1, self, now};
    m_used_trial.reset();
}

} // namespace daleshelf
