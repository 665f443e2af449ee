#include "lease_keeper.hpp"

#include <utility>

namespace daleshelf
{

lease_keeper::lease_keeper(lease_name name, host_id self, incarnation started,
                           const lease_options& options, std::uint64_t seed)
    : m_name(std::move(name))
    , m_self(std::move(self))
    , m_started(started)
    , m_options(options)
    , m_cursor(options.read_pause, options.longest_pause, seed)
    , m_pacer(options.read_pause, options.longest_pause, seed + 1)
{
}

bool lease_keeper::is_own(const lease_grant& grant) const
{
    return grant.holder == m_self && grant.started == m_started;
}

lease_actions lease_keeper::on_tick(absl::Time now)
{
    // docs/design/leases.md, "Acquiring and renewing".
    lease_actions actions;
    if (m_cursor.begin_read(now))
    {
        actions.emplace_back(read_leases{m_next, m_has_read});
    }
    const bool is_caught_up =
        m_has_read && m_cursor.is_reachable() && m_next >= m_cursor.log_next();
    if (!is_caught_up || !m_pacer.is_free(now))
    {
        return actions;
    }
    const auto grant = m_table.find(m_name);
    const bool is_held_here = grant && is_own(*grant) && !grant->is_released;
    bool is_due = false;
    if (is_held_here)
    {
        // 1. Renew in time; the renewal is a new grant with a higher token.
        is_due = m_is_releasing || now - m_proposed_at >= m_options.renewal;
    }
    else if (!m_is_releasing)
    {
        // 2. Take what nobody holds, or what nobody has renewed for longer
        //    than its holder may believe in it.
        const bool is_lapsed =
            now - m_seen_at > m_options.duration + m_options.margin;
        is_due = !grant || grant->is_released || is_lapsed;
    }
    if (!is_due)
    {
        return actions;
    }
    lease_proposal proposal;
    proposal.name = m_name;
    proposal.holder = m_self;
    proposal.started = m_started;
    proposal.previous = grant ? grant->token : fencing_token(-1);
    proposal.is_release = m_is_releasing;
    // The lease counts from before the record leaves.
    m_proposed_at = now;
    m_pacer.begin();
    actions.emplace_back(append_lease{proposal.to_record()});
    return actions;
}

void lease_keeper::on_appended(const log_append_result& result, absl::Time now)
{
    // Whether it was granted shows in the log; a second proposal names the
    // same grant before it and can then not win twice.
    m_pacer.end(result, now);
}

void lease_keeper::on_records(const log_read_result& result, absl::Time now)
{
    const auto page = m_cursor.take(result, m_next, now);
    if (page == log_cursor::page::trimmed)
    {
        // Grants are renewed within seconds: what was trimmed is superseded
        // or has lapsed.
        m_next = result.first;
    }
    if (page != log_cursor::page::records)
    {
        return;
    }
    m_has_read = true;
    for (const auto& record : result.records)
    {
        if (record.offset < m_next)
        {
            continue;
        }
        m_table.apply(record.offset, record.data);
        m_next = record.offset.next();
    }
    const auto grant = m_table.find(m_name);
    if (!grant || grant->token == m_seen)
    {
        return;
    }
    m_seen = grant->token;
    m_seen_at = now;
    if (is_own(*grant) && !grant->is_released)
    {
        // NOTE: counted from the last proposal, not from when it was read: a
        // paused host must not find itself holding what has lapsed.
        m_held = grant->token;
        m_held_until = m_proposed_at + m_options.duration;
        return;
    }
    m_held = fencing_token(-1);
    m_held_until = absl::InfinitePast();
}

void lease_keeper::release()
{
    m_is_releasing = true;
    m_held_until = absl::InfinitePast();
}

std::optional<fencing_token> lease_keeper::held(absl::Time now) const
{
    if (now >= m_held_until)
    {
        return std::nullopt;
    }
    return m_held;
}

std::optional<fencing_token> lease_keeper::last_token() const
{
    if (m_held < fencing_token(0) || m_is_releasing)
    {
        return std::nullopt;
    }
    return m_held;
}

} // namespace daleshelf
