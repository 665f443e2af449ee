#include "claim_replica.hpp"

#include <utility>

namespace daleshelf
{

claim_replica::claim_replica(const claim_options& options, std::uint64_t seed)
    : m_options(options)
    , m_cursor(options.read_interval, options.max_backoff, seed)
    , m_pacer(options.append_interval, options.max_backoff, seed + 1)
    , m_table(options.window + options.clock_margin)
{
}

claim_actions claim_replica::on_tick(absl::Time now)
{
    claim_actions actions;
    if (m_cursor.begin_read(now))
    {
        actions.emplace_back(read_claims{m_next_offset, m_has_read});
    }
    append_unsent(now, actions);
    expire_pending(now, actions);
    return actions;
}

void claim_replica::append_unsent(absl::Time now, claim_actions& actions)
{
    if (m_unsent.empty() || !m_pacer.is_free(now))
    {
        return;
    }
    m_in_flight.clear();
    while (!m_unsent.empty() &&
           m_in_flight.size() < m_options.claims_per_record)
    {
        m_in_flight.push_back(std::move(m_unsent.front()));
        m_unsent.pop_front();
    }
    m_pacer.begin();
    actions.emplace_back(append_claims{to_record(m_in_flight)});
}

void claim_replica::on_appended(const log_append_result& result, absl::Time now)
{
    m_pacer.end(result, now);
    const auto sent = std::exchange(m_in_flight, {});
    if (result.state == log_append_result::outcome::appended)
    {
        return;
    }
    // The record may have been appended. Appending a claim again is harmless:
    // both copies name the same request, and the first one counts.
    for (const auto& item : sent)
    {
        if (item.is_release || m_pending.contains(item.request))
        {
            m_unsent.push_back(item);
        }
    }
}

claim_actions claim_replica::on_records(const log_read_result& result,
                                        absl::Time now)
{
    claim_actions actions;
    const auto page = m_cursor.take(result, m_next_offset, now);
    if (page == log_cursor::page::trimmed)
    {
        // The records that were trimmed unread may contain claims. Until the
        // window has passed, this host cannot tell whether a key is free and
        // does not propose claims.
        m_was_trimmed = true;
        m_trimmed_at = now;
        m_next_offset = result.first;
    }
    if (page != log_cursor::page::records)
    {
        return actions;
    }
    if (!m_has_read)
    {
        m_has_read = true;
        m_has_read_from_start = m_next_offset == log_offset(0);
    }
    for (const auto& record : result.records)
    {
        if (record.offset >= m_next_offset)
        {
            m_table.apply(record.data);
            m_next_offset = record.offset.next();
        }
    }
    if (m_next_offset >= result.next)
    {
        resolve_known(actions);
    }
    return actions;
}

bool claim_replica::is_complete(absl::Time now) const
{
    if (!m_has_read || !m_cursor.is_reachable() ||
        m_next_offset < m_cursor.log_next())
    {
        return false;
    }
    if (!m_was_trimmed)
    {
        return m_has_read_from_start;
    }
    const auto window = m_options.window + m_options.clock_margin;
    // Complete if the oldest record read is older than the window, or if the
    // window has passed since the gap was detected.
    const auto oldest = m_table.oldest();
    const bool reaches_back = oldest && now - *oldest > window;
    return reaches_back || now - m_trimmed_at > window;
}

std::optional<claim_outcome> claim_replica::propose(const claim& proposed,
                                                    absl::Time deadline,
                                                    absl::Time now)
{
    const bool is_claimed = m_table.find(proposed.key).has_value();
    if (is_claimed)
    {
        return outcome_of(proposed);
    }
    if (!is_complete(now) || m_pending.size() >= m_options.max_pending_claims)
    {
        return claim_outcome();
    }
    m_pending[proposed.request] = {proposed, deadline};
    m_unsent.push_back(proposed);
    return std::nullopt;
}

claim_outcome claim_replica::outcome_of(const claim& proposed) const
{
    claim_outcome outcome;
    const auto holder = m_table.find(proposed.key);
    if (!holder)
    {
        return outcome;
    }
    outcome.winner = holder->request;
    if (holder->request == proposed.request)
    {
        outcome.decision = claim_outcome::state::won;
        return outcome;
    }
    outcome.decision = holder->body_digest == proposed.body_digest
                           ? claim_outcome::state::lost
                           : claim_outcome::state::mismatch;
    return outcome;
}

void claim_replica::resolve_known(claim_actions& actions)
{
    for (auto entry = m_pending.begin(); entry != m_pending.end();)
    {
        const auto& proposed = entry->second.proposed;
        if (!m_table.find(proposed.key))
        {
            ++entry;
            continue;
        }
        actions.emplace_back(
            claim_resolved{entry->first, outcome_of(proposed)});
        entry = m_pending.erase(entry);
    }
}

void claim_replica::expire_pending(absl::Time now, claim_actions& actions)
{
    for (auto entry = m_pending.begin(); entry != m_pending.end();)
    {
        if (now < entry->second.deadline)
        {
            ++entry;
            continue;
        }
        actions.emplace_back(claim_resolved{entry->first, claim_outcome()});
        // The claim may still be appended. Since the request never runs, its
        // key has to be released.
        auto release = entry->second.proposed;
        release.is_release = true;
        m_unsent.push_back(std::move(release));
        entry = m_pending.erase(entry);
    }
}

} // namespace daleshelf
