#include "shared_slots.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// The keeper that grants, and the one that takes over from it.
constexpr std::size_t keepers_per_upstream = 2;
constexpr int attempts_per_claim = 2;
// A keeper that has not replied to this many consecutive requests is not asked
// for a while: callers need not wait for it.
constexpr int timeouts_until_avoided = 4;
constexpr absl::Duration avoid_time = absl::Milliseconds(250);
// Uses that have changed within this time are reported again.
constexpr absl::Duration repeat_time = absl::Seconds(1);

} // namespace

shared_slots::shared_slots(host_id self, hall_id hall,
                           incarnation host_incarnation)
    : m_self(std::move(self))
    , m_hall(std::move(hall))
    , m_incarnation(host_incarnation)
{
    set_peers({});
}

void shared_slots::set_peers(std::vector<slot_host> peers)
{
    m_hosts = std::move(peers);
    m_hosts.push_back({m_self, m_hall, true});
}

void shared_slots::begin(const upstream_id& server)
{
    ++m_uses[server].in_flight;
    mark_changed(server);
}

void shared_slots::end(const upstream_id& server)
{
    const auto use = m_uses.find(server);
    if (use == m_uses.end())
    {
        return;
    }
    --use->second.in_flight;
    mark_changed(server);
    const bool is_unused = use->second.in_flight == 0 &&
                           use->second.pending.empty() &&
                           !m_tracked.contains(server);
    if (is_unused)
    {
        m_uses.erase(use);
    }
}

void shared_slots::record_rejection(const upstream_id& server)
{
    ++m_uses[server].rejected;
    mark_changed(server);
}

void shared_slots::mark_changed(const upstream_id& server)
{
    if (m_tracked.contains(server))
    {
        m_changed.insert(server);
    }
}

void shared_slots::track(const brittle_upstream& upstream)
{
    const auto [known, is_new] =
        m_tracked.insert_or_assign(upstream.server.id, upstream);
    if (is_new)
    {
        m_changed.insert(known->first);
    }
}

void shared_slots::track_only(const absl::btree_set<upstream_id>& servers)
{
    absl::erase_if(m_tracked, [&](const auto& entry)
                   { return !servers.contains(entry.first); });
    absl::erase_if(m_uses,
                   [&](const auto& entry)
                   {
                       return entry.second.in_flight == 0 &&
                              entry.second.pending.empty() &&
                              !m_tracked.contains(entry.first);
                   });
}

slot_claim shared_slots::open_claim(const brittle_upstream& upstream,
                                    absl::Time now)
{
    if (upstream.rejection_limit)
    {
        track(upstream);
    }
    m_uses[upstream.server.id].changed_at = now;
    slot_claim claim;
    claim.upstream = upstream;
    auto keepers = slot_keepers(upstream.server.id, upstream.hall, m_hosts, 1);
    if (!keepers.empty())
    {
        claim.keeper = std::move(keepers.front());
    }
    return claim;
}

slot_claim_step shared_slots::advance(slot_claim& claim, absl::Time now)
{
    const auto settled = [](bool is_granted)
    {
        return slot_claim_step{is_granted ? slot_claim_step::status::granted
                                          : slot_claim_step::status::denied,
                               std::nullopt};
    };
    // 1. A reply settles the claim.
    if (const auto reply = take_reply(claim))
    {
        return settled(*reply);
    }
    // 2. Without one, the message may be lost, or the keeper may have crashed.
    if (claim.sequence != 0)
    {
        close_request(claim);
        record_timeout(*claim.keeper, now);
    }
    // 3. The keeper is asked; it may be this host.
    const auto max_attempts =
        claim.upstream.rejection_limit ? attempts_per_claim : 1;
    const bool is_exhausted = !claim.keeper || is_avoided(*claim.keeper, now) ||
                              claim.attempts >= max_attempts;
    if (is_exhausted)
    {
        return settled(!claim.upstream.rejection_limit);
    }
    ++claim.attempts;
    auto request = new_request(claim);
    if (*claim.keeper == m_self)
    {
        return settled(m_ledger.take({m_self, m_incarnation, request.sequence},
                                     request.uses.front(), m_hosts.size() == 1,
                                     now));
    }
    claim.sequence = request.sequence;
    m_uses[claim.upstream.server.id].pending.insert(claim.sequence);
    m_replies[claim.sequence] = std::nullopt;
    return {slot_claim_step::status::pending,
            addressed_slot_message{*claim.keeper, std::move(request)}};
}

// @return whether the slot is granted; nothing if no reply has arrived
std::optional<bool> shared_slots::take_reply(slot_claim& claim)
{
    const auto reply = m_replies.find(claim.sequence);
    if (reply == m_replies.end() || !reply->second)
    {
        return std::nullopt;
    }
    const bool is_granted = *reply->second;
    m_replies.erase(reply);
    m_uses[claim.upstream.server.id].pending.erase(claim.sequence);
    return is_granted;
}

// Gives up a request without a reply. It may have been granted.
void shared_slots::close_request(slot_claim& claim)
{
    const auto& server = claim.upstream.server.id;
    m_replies.erase(claim.sequence);
    m_uses[server].pending.erase(claim.sequence);
    claim.sequence = 0;
    mark_changed(server);
}

slot_message shared_slots::new_request(const slot_claim& claim)
{
    auto request = new_message(slot_message_kind::request);
    request.uses = {use_of(claim.upstream)};
    auto& oldest = request.uses.front().oldest_pending;
    oldest = std::min(oldest, request.sequence);
    return request;
}

bool shared_slots::has_reply(std::int64_t request_sequence) const
{
    const auto reply = m_replies.find(request_sequence);
    return reply != m_replies.end() && reply->second.has_value();
}

std::optional<slot_message> shared_slots::receive(const slot_message& message,
                                                  absl::Time now)
{
    const slot_ledger::report_source source{
        message.from, message.from_incarnation, message.sequence};
    switch (message.kind)
    {
    case slot_message_kind::report:
        for (const auto& use : message.uses)
        {
            m_ledger.report(source, use, now);
        }
        return std::nullopt;
    case slot_message_kind::request:
    {
        auto reply = new_message(slot_message_kind::reply);
        reply.in_reply_to = message.sequence;
        reply.is_granted =
            m_ledger.take(source, message.uses.front(), false, now);
        return reply;
    }
    case slot_message_kind::reply:
        break;
    }
    m_keepers.erase(message.from);
    const auto pending = m_replies.find(message.in_reply_to);
    if (pending != m_replies.end())
    {
        pending->second = message.is_granted;
    }
    return std::nullopt;
}

std::vector<addressed_slot_message> shared_slots::take_changes(absl::Time now)
{
    const auto changed = std::exchange(m_changed, {});
    for (const auto& server : changed)
    {
        m_uses[server].changed_at = now;
    }
    return reports_of(changed, now);
}

std::vector<addressed_slot_message> shared_slots::tick(absl::Time now)
{
    m_ledger.evict_expired(now);
    absl::btree_set<upstream_id> used;
    for (const auto& [server, upstream] : m_tracked)
    {
        const auto use = m_uses.find(server);
        const bool is_reported =
            use != m_uses.end() && (use->second.in_flight > 0 ||
                                    now - use->second.changed_at < repeat_time);
        if (is_reported)
        {
            used.insert(server);
        }
    }
    return reports_of(used, now);
}

std::int64_t shared_slots::in_flight(const upstream_id& server) const
{
    const auto use = m_uses.find(server);
    return use == m_uses.end() ? 0 : use->second.in_flight;
}

void shared_slots::record_timeout(const host_id& keeper, absl::Time now)
{
    auto& state = m_keepers[keeper];
    ++state.timeouts;
    if (state.timeouts >= timeouts_until_avoided)
    {
        state.avoided_until = now + avoid_time;
    }
}

bool shared_slots::is_avoided(const host_id& keeper, absl::Time now) const
{
    const auto known = m_keepers.find(keeper);
    return known != m_keepers.end() && now < known->second.avoided_until;
}

slot_use shared_slots::use_of(const brittle_upstream& upstream) const
{
    slot_use use;
    use.server = upstream.server;
    use.slots = upstream.slots;
    use.rejection_limit = upstream.rejection_limit;
    use.oldest_pending = m_sequence + 1;
    const auto own = m_uses.find(upstream.server.id);
    if (own == m_uses.end())
    {
        return use;
    }
    use.in_flight = own->second.in_flight;
    use.rejected = own->second.rejected;
    const auto& pending = own->second.pending;
    use.oldest_pending = pending.empty() ? m_sequence + 1 : *pending.begin();
    return use;
}

slot_message shared_slots::new_message(slot_message_kind kind)
{
    slot_message message;
    message.kind = kind;
    message.from = m_self;
    message.from_incarnation = m_incarnation;
    message.sequence = ++m_sequence;
    return message;
}

std::vector<addressed_slot_message>
shared_slots::reports_of(const absl::btree_set<upstream_id>& servers,
                         absl::Time now)
{
    std::map<host_id, std::vector<slot_use>> uses_by_keeper;
    for (const auto& server : servers)
    {
        const auto tracked = m_tracked.find(server);
        if (tracked == m_tracked.end())
        {
            continue;
        }
        const auto use = use_of(tracked->second);
        for (const auto& keeper : slot_keepers(server, tracked->second.hall,
                                               m_hosts, keepers_per_upstream))
        {
            uses_by_keeper[keeper].push_back(use);
        }
    }
    std::vector<addressed_slot_message> reports;
    for (auto& [keeper, uses] : uses_by_keeper)
    {
        if (keeper == m_self)
        {
            for (const auto& use : uses)
            {
                m_ledger.report({m_self, m_incarnation, ++m_sequence}, use,
                                now);
            }
            continue;
        }
        for (std::size_t first = 0; first < uses.size(); first += max_slot_uses)
        {
            const auto begin =
                uses.begin() + static_cast<std::ptrdiff_t>(first);
            const auto count = std::min(max_slot_uses, uses.size() - first);
            auto report = new_message(slot_message_kind::report);
            report.uses.assign(begin,
                               begin + static_cast<std::ptrdiff_t>(count));
            reports.push_back({keeper, std::move(report)});
        }
    }
    return reports;
}

} // namespace daleshelf
