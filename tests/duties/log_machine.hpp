/// @file
/// Machines that keep one lease by a log, for tests.
#pragma once

#include <algorithm>
#include <duties/duty_ledger.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

/// @return a time of the test
inline absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

/// The platform's log: an append is done only if the log ends where it says.
struct shared_log
{
    std::vector<std::string> records; ///< those before `first` too
    std::int64_t first = 0;           ///< the oldest offset kept

    void forget()
    {
        first = static_cast<std::int64_t>(records.size());
    }

    bool append(const ledger_append& wanted)
    {
        if (wanted.at.value() != static_cast<std::int64_t>(records.size()))
        {
            return false;
        }
        records.push_back(wanted.record);
        return true;
    }
};

/// One machine; its calls may lose their answers, or it stands still.
class machine
{
public:
    machine(shared_log& log, const std::string& name)
        : ledger(host_id(name), incarnation(1), duty_options()), m_log(log)
    {
    }

    void tick(absl::Time now, bool is_holder_heard, bool loses_answers = false)
    {
        const auto action = ledger.next_action(is_holder_heard, now);
        if (const auto* read = std::get_if<ledger_read>(&action))
        {
            const auto from = std::max(read->from.value(), m_log.first);
            ledger.on_records(
                read->from, log_offset(m_log.first),
                log_offset(static_cast<std::int64_t>(m_log.records.size())),
                {m_log.records.begin() + from, m_log.records.end()},
                running_window, now);
        }
        else if (const auto* append = std::get_if<ledger_append>(&action))
        {
            perform(*append, now, loses_answers);
        }
    }

    void perform(const ledger_append& append, absl::Time now,
                 bool loses_answers)
    {
        const bool is_done = m_log.append(append);
        if (is_done && !loses_answers)
        {
            ledger.on_appended(append, now);
            return;
        }
        ledger.on_uncertain();
    }

    duty_ledger ledger;
    std::int64_t running_window = 0;

private:
    shared_log& m_log;
};

} // namespace daleshelf
