#include "claim_replica.hpp"

#include <utility>

namespace daleshelf
{

claim_replica::claim_replica(const claim_options& options, std::uint64_t seed)
    : m_options(options)
    , m_cursor(options.read_pause, options.longest_pause, seed)
    , m_pacer(options.append_interval, options.longest_pause, seed + 1)
    , m_table(options.window + options.clock_margin)
{
}

claim_actions claim_replica::on_tick(absl::Time now)
{
    claim_actions actions;
    if (m_cursor.begin_read(now))
    {
        actions.emplace_back(read_claims{m_next, m_has_read});
    }
    append_waiting(now, actions);
    give_up_late(now, actions);
    return actions;
}

void claim_replica::append_waiting(absl::Time now, claim_actions& actions)
{
    if (m_unsent.empty() || !m_pacer.is_free(now))
    {
        return;
    }
    m_in_append.clear();
    while (!m_unsent.empty() &&
           m_in_append.size() < m_options.claims_per_record)
    {
        m_in_append.push_back(std::move(m_unsent.front()));
        m_unsent.pop_front();
    }
    m_pacer.begin();
    actions.emplace_back(append_claims{to_record(m_in_append)});
}

void claim_replica::on_appended(const log_append_result& result, absl::Time now)
{
    m_pacer.end(result, now);
    const auto sent = std::exchange(m_in_append, {});
    if (result.state == log_append_result::outcome::appended)
    {
        return;
    }
    // It may have been appended. A second one changes nothing: whichever is
    // first names the same request.
    for (const auto& item : sent)
    {
        if (item.is_release || m_waiting.contains(item.request))
        {
            m_unsent.push_back(item);
        }
    }
}

claim_actions claim_replica::on_records(const log_read_result& result,
                                        absl::Time now)
{
    claim_actions actions;
    const auto page = m_cursor.take(result, m_next, now);
    if (page == log_cursor::page::trimmed)
    {
        // What was trimmed unread may hold claims: until the window has
        // passed nobody here can tell, and nothing is guessed.
        m_was_trimmed = true;
        m_trimmed_at = now;
        m_next = result.first;
    }
    if (page != log_cursor::page::records)
    {
        return actions;
    }
    if (!m_has_read)
    {
        m_has_read = true;
        m_starts_at_beginning = m_next == log_offset(0);
    }
    for (const auto& record : result.records)
    {
        if (record.offset >= m_next)
        {
            m_table.apply(record.data);
            m_next = record.offset.next();
        }
    }
    if (m_next >= result.next)
    {
        settle_known(actions);
    }
    return actions;
}

bool claim_replica::is_complete(absl::Time now) const
{
    if (!m_has_read || !m_cursor.is_reachable() || m_next < m_cursor.log_next())
    {
        return false;
    }
    if (!m_was_trimmed)
    {
        return m_starts_at_beginning;
    }
    const auto window = m_options.window + m_options.clock_margin;
    // The oldest record kept is older than the window, or the window has
    // passed since the gap was found.
    const auto oldest = m_table.oldest();
    const bool reaches_back = oldest && now - *oldest > window;
    return reaches_back || now - m_trimmed_at > window;
}

std::optional<claim_outcome>
claim_replica::propose(const claim& wanted, absl::Time deadline, absl::Time now)
{
    const bool is_held = m_table.find(wanted.key).has_value();
    if (is_held)
    {
        return outcome_of(wanted);
    }
    if (!is_complete(now) || m_waiting.size() >= m_options.most_waiting)
    {
        return claim_outcome();
    }
    m_waiting[wanted.request] = {wanted, deadline};
    m_unsent.push_back(wanted);
    return std::nullopt;
}

claim_outcome claim_replica::outcome_of(const claim& wanted) const
{
    claim_outcome outcome;
    const auto holder = m_table.find(wanted.key);
    if (!holder)
    {
        return outcome;
    }
    outcome.winner = holder->request;
    if (holder->request == wanted.request)
    {
        outcome.what = claim_outcome::state::won;
        return outcome;
    }
    outcome.what = holder->body_digest == wanted.body_digest
                       ? claim_outcome::state::lost
                       : claim_outcome::state::mismatch;
    return outcome;
}

void claim_replica::settle_known(claim_actions& actions)
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();)
    {
        const auto& wanted = entry->second.wanted;
        if (!m_table.find(wanted.key))
        {
            ++entry;
            continue;
        }
        actions.emplace_back(claim_settled{entry->first, outcome_of(wanted)});
        entry = m_waiting.erase(entry);
    }
}

void claim_replica::give_up_late(absl::Time now, claim_actions& actions)
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();)
    {
        if (now < entry->second.deadline)
        {
            ++entry;
            continue;
        }
        actions.emplace_back(claim_settled{entry->first, claim_outcome()});
        // The claim may yet come into the log. The request never runs, so
        // that its key must not stay taken.
        auto release = entry->second.wanted;
        release.is_release = true;
        m_unsent.push_back(std::move(release));
        entry = m_waiting.erase(entry);
    }
}

} // namespace daleshelf
