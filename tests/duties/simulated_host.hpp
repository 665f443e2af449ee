/// @file
/// Simulated hosts that share one lease through a log, for tests.
#pragma once

#include <algorithm>
#include <duties/duty_ledger.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

/// @return the time that many seconds after the Unix epoch
inline absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

/// The platform's log: an append succeeds only if the log ends at its
/// `expected_end`.
struct shared_log
{
    std::vector<std::string> records; ///< includes those before `first`
    std::int64_t first = 0;           ///< the oldest offset kept

    void trim()
    {
        first = static_cast<std::int64_t>(records.size());
    }

    bool append(const ledger_append& append_request)
    {
        if (append_request.expected_end.value() !=
            static_cast<std::int64_t>(records.size()))
        {
            return false;
        }
        records.push_back(append_request.record);
        return true;
    }
};

/// One host. A test may lose the responses to its calls, or pause it by not
/// calling `tick`.
class simulated_host
{
public:
    simulated_host(shared_log& log, const std::string& name)
        : ledger(host_id(name), incarnation(1), duty_options()), m_log(log)
    {
    }

    void tick(absl::Time now, bool is_holder_reachable,
              bool loses_response = false)
    {
        const auto action = ledger.next_action(is_holder_reachable, now);
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
            perform(*append, now, loses_response);
        }
    }

    void perform(const ledger_append& append, absl::Time now,
                 bool loses_response)
    {
        const bool is_done = m_log.append(append);
        if (is_done && !loses_response)
        {
            ledger.on_appended(append, now);
            return;
        }
        ledger.on_outcome_unknown();
    }

    duty_ledger ledger;
    std::int64_t running_window = 0;

private:
    shared_log& m_log;
};

} // namespace daleshelf
