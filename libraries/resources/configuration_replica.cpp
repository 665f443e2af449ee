#include "configuration_replica.hpp"

#include "resource_schema.hpp"

#include <algorithm>
#include <base/json.hpp>
#include <utility>

namespace daleshelf
{

configuration_replica::configuration_replica(const replica_options& options,
                                             std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_cursor(options.read_pause, options.longest_pause, seed)
    , m_pacer(options.append_interval, options.longest_pause, seed + 1)
    , m_snapshot_backoff(options.read_pause, options.longest_pause, seed + 2)
{
}

replica_actions configuration_replica::on_tick(absl::Time now)
{
    // docs/design/configuration.md, "A tick".
    replica_actions actions;
    // 1. Follow the log; from a snapshot if its records are gone.
    if (m_needs_snapshot)
    {
        if (!m_is_reading_snapshot && now >= m_next_snapshot_read)
        {
            m_is_reading_snapshot = true;
            actions.emplace_back(read_snapshot{});
        }
    }
    else if (m_cursor.begin_read(now))
    {
        actions.emplace_back(read_records{m_store.next(), m_is_current});
    }
    // 2. While the log does not answer, learn from peers.
    const bool is_behind = m_peers_next > m_store.next() || !m_is_current;
    const bool wants_peer = !m_is_reachable || m_needs_snapshot || m_is_back;
    if (m_has_peers && wants_peer && is_behind && now >= m_next_peer)
    {
        m_next_peer = now + m_options.peer_interval;
        actions.emplace_back(ask_peer{m_store.next()});
    }
    // 3. Propose what operators wait for; write a snapshot if one is due.
    propose_waiting(now, actions);
    check_snapshot(now, actions);
    return actions;
}

replica_actions configuration_replica::on_records(const log_read_result& result,
                                                  absl::Time now)
{
    replica_actions actions;
    const auto page = m_cursor.take(result, m_store.next(), now);
    set_reachable(page != log_cursor::page::unreachable, result.message,
                  actions);
    // What the log once held stays in force: nothing goes back.
    const bool is_back = page == log_cursor::page::went_back;
    if (is_back && !m_is_back)
    {
        actions.emplace_back(
            replica_warning{replica_warning::cause::went_back, result.next,
                            "the log ends before what was applied"});
    }
    m_is_back = is_back;
    if (page == log_cursor::page::trimmed)
    {
        actions.emplace_back(replica_warning{replica_warning::cause::trimmed,
                                             result.first, "records trimmed"});
        m_needs_snapshot = true;
    }
    if (page == log_cursor::page::records)
    {
        m_last_contact = now;
        const auto before = m_store.next();
        for (const auto& record : result.records)
        {
            apply(record, actions);
        }
        announce(before, false, actions);
    }
    check_current();
    return actions;
}

void configuration_replica::apply(const log_record& record,
                                  replica_actions& actions)
{
    using applied = resource_store::applied_record;
    const auto done = m_store.apply(record.offset, record.data);
    if (done == applied::behind)
    {
        return;
    }
    if (done == applied::skipped)
    {
        actions.emplace_back(
            replica_warning{replica_warning::cause::skipped_record,
                            record.offset, "the record cannot be read"});
    }
    m_records.push_back(record);
    if (m_records.size() > m_options.kept_records)
    {
        m_records.pop_front();
    }
}

void configuration_replica::announce(log_offset before, bool is_reset,
                                     replica_actions& actions)
{
    if (m_store.next() == before)
    {
        return;
    }
    actions.emplace_back(state_changed{before, is_reset});
    for (auto entry = m_proposals.begin(); entry != m_proposals.end();)
    {
        const auto outcome = m_store.find_change(entry->first);
        if (!outcome)
        {
            ++entry;
            continue;
        }
        actions.emplace_back(change_settled{entry->first, *outcome});
        entry = m_proposals.erase(entry);
    }
}

void configuration_replica::set_reachable(bool is_reachable,
                                          const std::string& message,
                                          replica_actions& actions)
{
    if (m_is_reachable == is_reachable && m_was_reached)
    {
        return;
    }
    const bool is_first = !m_was_reached;
    m_was_reached = true;
    m_is_reachable = is_reachable;
    if (!is_reachable)
    {
        actions.emplace_back(replica_warning{
            replica_warning::cause::unreachable, m_store.next(), message});
    }
    else if (!is_first)
    {
        actions.emplace_back(replica_warning{replica_warning::cause::reachable,
                                             m_store.next(), message});
    }
}

void configuration_replica::check_current()
{
    if (m_is_current)
    {
        return; // never taken back: an old configuration beats none
    }
    const bool has_peers_state = m_store.next() >= m_peers_next;
    const bool has_log_state = m_is_reachable && !m_needs_snapshot &&
                               m_store.next() >= m_cursor.log_next();
    const bool has_only_peers = !m_is_reachable && m_is_confirmed_by_peer;
    m_is_current = has_peers_state && (has_log_state || has_only_peers);
}

void configuration_replica::load(const std::string& snapshot,
                                 replica_actions& actions)
{
    resource_store loaded;
    try
    {
        loaded = resource_store::from_snapshot(parse_object(snapshot));
    }
    catch (const std::exception& error)
    {
        actions.emplace_back(
            replica_warning{replica_warning::cause::skipped_record,
                            m_store.next(), error.what()});
        return;
    }
    m_snapshot_next = std::max(m_snapshot_next, loaded.next());
    if (loaded.next() <= m_store.next())
    {
        return; // never back
    }
    const auto before = m_store.next();
    m_store = std::move(loaded);
    m_records.clear();
    m_needs_snapshot = false;
    m_snapshot_backoff.reset();
    announce(before, true, actions);
}

replica_actions configuration_replica::on_snapshot(const std::string& data,
                                                   bool is_reached,
                                                   absl::Time now)
{
    replica_actions actions;
    m_is_reading_snapshot = false;
    m_next_snapshot_read = now + m_snapshot_backoff.next();
    if (is_reached && !data.empty())
    {
        load(data, actions);
    }
    if (is_reached && m_is_snapshot_due)
    {
        m_is_snapshot_due = false;
        const auto since = m_store.next().value() - m_snapshot_next.value();
        if (since >= m_options.records_per_snapshot && !m_needs_snapshot)
        {
            m_snapshot_next = m_store.next();
            actions.emplace_back(
                append_snapshot{boost::json::serialize(m_store.to_snapshot())});
        }
    }
    check_current();
    return actions;
}

void configuration_replica::check_snapshot(absl::Time now,
                                           replica_actions& actions)
{
    const auto since = m_store.next().value() - m_snapshot_next.value();
    if (since < m_options.records_per_snapshot || !m_is_reachable)
    {
        m_snapshot_at = absl::InfiniteFuture();
        return;
    }
    if (m_snapshot_at == absl::InfiniteFuture())
    {
        // Every host has the same count; one of them comes first and the
        // others then find its snapshot. Two at once do no harm.
        std::uniform_real_distribution<double> part(0.0, 1.0);
        m_snapshot_at = now + m_options.snapshot_jitter * part(m_random);
    }
    if (now >= m_snapshot_at && !m_is_reading_snapshot)
    {
        m_snapshot_at = now + m_options.snapshot_jitter;
        m_is_snapshot_due = true;
        m_is_reading_snapshot = true;
        actions.emplace_back(read_snapshot{});
    }
}

std::optional<change_outcome>
configuration_replica::propose(const change& proposed)
{
    auto known = m_store.find_change(proposed.id);
    if (known)
    {
        return known;
    }
    change_outcome invalid;
    invalid.what = change_outcome::state::invalid;
    invalid.offset = m_store.next();
    for (const auto& operation : proposed.operations)
    {
        for (auto& fault : find_faults(operation))
        {
            invalid.faults.push_back(std::move(fault));
        }
    }
    if (!invalid.faults.empty())
    {
        return invalid;
    }
    const bool is_new = m_proposals.emplace(proposed.id, proposed).second;
    if (is_new)
    {
        m_unsent.push_back(proposed.id);
    }
    return std::nullopt;
}

bool configuration_replica::is_full() const
{
    return m_proposals.size() >= m_options.most_proposals;
}

void configuration_replica::propose_waiting(absl::Time now,
                                            replica_actions& actions)
{
    if (m_unsent.empty() || !m_pacer.is_free(now))
    {
        return;
    }
    // One append at a time carries all that has gathered meanwhile.
    std::vector<change> batch;
    m_in_append.clear();
    while (!m_unsent.empty() && batch.size() < m_options.changes_per_record)
    {
        const auto id = m_unsent.front();
        m_unsent.pop_front();
        const auto found = m_proposals.find(id);
        if (found == m_proposals.end())
        {
            continue; // settled meanwhile
        }
        batch.push_back(found->second);
        m_in_append.insert(id);
    }
    if (batch.empty())
    {
        return;
    }
    m_pacer.begin();
    actions.emplace_back(append_record{to_record(batch)});
}

void configuration_replica::on_appended(const log_append_result& result,
                                        absl::Time now)
{
    m_pacer.end(result, now);
    const auto sent = std::exchange(m_in_append, {});
    if (result.state == log_append_result::outcome::appended)
    {
        return; // replay settles them
    }
    // What may or may not have been appended is appended again: a change id
    // counts once, so the outcome is the same and is certain.
    for (const auto& id : sent)
    {
        if (m_proposals.contains(id))
        {
            m_unsent.push_back(id);
        }
    }
}

replica_actions
configuration_replica::on_peer_records(const std::string& snapshot,
                                       const std::vector<log_record>& records,
                                       bool is_peer_current, absl::Time now)
{
    replica_actions actions;
    m_last_contact = now;
    m_is_confirmed_by_peer = m_is_confirmed_by_peer || is_peer_current;
    if (!snapshot.empty())
    {
        load(snapshot, actions);
    }
    const auto before = m_store.next();
    for (const auto& record : records)
    {
        // NOTE: a reply to an older question must leave no gap behind.
        if (record.offset > m_store.next())
        {
            break;
        }
        apply(record, actions);
    }
    announce(before, false, actions);
    check_current();
    return actions;
}

void configuration_replica::set_peers_next(log_offset next, bool has_peers)
{
    m_peers_next = std::max(m_peers_next, next);
    m_has_peers = has_peers;
}

std::optional<change_outcome>
configuration_replica::find_change(const change_id& id) const
{
    auto settled = m_store.find_change(id);
    if (!settled && m_proposals.contains(id))
    {
        return change_outcome();
    }
    return settled;
}

std::string
configuration_replica::records_for_peer(log_offset from,
                                        std::vector<log_record>& records) const
{
    if (from >= m_store.next())
    {
        return "";
    }
    const bool reaches_back =
        !m_records.empty() && m_records.front().offset <= from;
    if (!reaches_back)
    {
        return boost::json::serialize(m_store.to_snapshot());
    }
    for (const auto& record : m_records)
    {
        if (record.offset >= from)
        {
            records.push_back(record);
        }
    }
    return "";
}

} // namespace daleshelf
