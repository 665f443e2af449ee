#include "membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daleshelf
{

namespace
{

// An update is sent this many times the binary logarithm of the fleet size.
constexpr double transmission_factor = 3;
constexpr std::size_t members_per_sync_reply = 64;
constexpr std::uint64_t syncs_per_seed = 4;
constexpr std::size_t leave_messages = 6;
constexpr std::uint64_t periods_between_probes = 4;

bool is_reachable(const member& item)
{
    return item.state == member_state::alive ||
           item.state == member_state::suspect;
}

} // namespace

membership::membership(member self, const membership_options& options,
                       std::uint64_t seed)
    : m_options(options), m_self(std::move(self)), m_random(seed)
{
}

void membership::set_seeds(std::vector<std::string> addresses)
{
    m_seeds = std::move(addresses);
    std::erase(m_seeds, m_self.address);
}

int membership::max_transmissions() const
{
    const auto size = static_cast<double>(m_members.size() + 2);
    return static_cast<int>(std::ceil(transmission_factor * std::log2(size)));
}

gossip_message membership::make_message(gossip_message::kind type,
                                        std::uint64_t sequence)
{
    gossip_message message;
    message.type = type;
    message.sequence = sequence;
    message.sender = m_self;
    const auto limit = m_options.updates_per_message;
    for (const auto& id : m_updates.take(limit, max_transmissions()))
    {
        const auto found = m_members.find(id);
        if (found != m_members.end())
        {
            message.updates.push_back(found->second);
        }
    }
    message.leaving = m_leaving_updates.take(m_options.leaving_per_message,
                                             max_transmissions());
    return message;
}

std::vector<outgoing_gossip> membership::on_tick(absl::Time now)
{
    messages out;
    // docs/design/membership.md, "A period".
    // 1. Unacknowledged pings: first send indirect pings, then suspect.
    check_pings(now, out);
    expire_suspects(now);
    // 2. Ping a host of the own hall and, every second period, of another.
    if (now >= m_next_period)
    {
        m_next_period = now + m_options.period;
        ++m_period_count;
        ping_next(true, now, out);
        if (m_period_count % 2 == 0)
        {
            ping_next(false, now, out);
        }
        // 3. Probe a dead host: after a partition it is reachable again, and
        //    so is the part of the fleet that it knows.
        if (m_period_count % periods_between_probes == 0)
        {
            probe_dead(now, out);
        }
    }
    // 4. Periodically exchange the full member list with one host.
    const bool is_alone =
        reachable_members(true).empty() && reachable_members(false).empty();
    if (now >= m_next_sync)
    {
        m_next_sync = now + next_sync_interval(is_alone);
        send_sync(is_alone, out);
    }
    return out;
}

std::vector<const member*> membership::reachable_members(bool is_own_hall) const
{
    std::vector<const member*> found;
    for (const auto& [id, item] : m_members)
    {
        if (is_reachable(item) && (item.hall == m_self.hall) == is_own_hall)
        {
            found.push_back(&item);
        }
    }
    return found;
}

void membership::ping_next(bool is_own_hall, absl::Time now, messages& out)
{
    const auto targets = reachable_members(is_own_hall);
    if (!targets.empty())
    {
        ping(*targets[m_random() % targets.size()], now, out);
    }
}

void membership::ping(const member& target, absl::Time now, messages& out)
{
    const auto sequence = ++m_last_sequence;
    m_pings[sequence] = {target.id, now, false, "", 0};
    out.push_back(
        {target.address, make_message(gossip_message::kind::ping, sequence)});
}

void membership::probe_dead(absl::Time now, messages& out)
{
    std::vector<const member*> dead_members;
    for (const auto& [id, item] : m_members)
    {
        if (item.state == member_state::dead)
        {
            dead_members.push_back(&item);
        }
    }
    if (dead_members.empty())
    {
        return;
    }
    ping(*dead_members[m_random() % dead_members.size()], now, out);
}

void membership::check_pings(absl::Time now, messages& out)
{
    for (auto entry = m_pings.begin(); entry != m_pings.end();)
    {
        auto& pending = entry->second;
        const auto age = now - pending.sent;
        if (age < m_options.ack_timeout)
        {
            ++entry;
            continue;
        }
        const bool is_own = pending.requester.empty();
        if (is_own && !pending.is_indirect_sent)
        {
            pending.is_indirect_sent = true;
            send_indirect_pings(pending, entry->first, out);
        }
        if (age < m_options.period)
        {
            ++entry;
            continue;
        }
        const auto found = m_members.find(pending.target);
        if (is_own && found != m_members.end() &&
            found->second.state == member_state::alive)
        {
            set_state(found->second, member_state::suspect, now);
        }
        entry = m_pings.erase(entry);
    }
}

void membership::send_indirect_pings(const pending_ping& unanswered,
                                     std::uint64_t sequence, messages& out)
{
    auto relays = reachable_members(true);
    const auto others = reachable_members(false);
    relays.insert(relays.end(), others.begin(), others.end());
    std::erase_if(relays, [&unanswered](const member* item)
                  { return item->id == unanswered.target; });
    std::shuffle(relays.begin(), relays.end(), m_random);
    const auto count = std::min(
        relays.size(), static_cast<std::size_t>(m_options.indirect_pings));
    for (std::size_t i = 0; i < count; ++i)
    {
        auto message =
            make_message(gossip_message::kind::indirect_ping, sequence);
        message.target = unanswered.target;
        out.push_back({relays[i]->address, std::move(message)});
    }
}

void membership::expire_suspects(absl::Time now)
{
    for (auto entry = m_members.begin(); entry != m_members.end();)
    {
        auto& item = entry->second;
        const auto age = now - m_state_since[item.id];
        if (item.state == member_state::suspect &&
            age > m_options.suspicion_timeout)
        {
            set_state(item, member_state::dead, now);
        }
        if (!is_reachable(item) && age > m_options.eviction_timeout)
        {
            m_state_since.erase(item.id);
            entry = m_members.erase(entry);
            ++m_revision;
            continue;
        }
        ++entry;
    }
}

void membership::set_state(member& known, member_state state, absl::Time now)
{
    known.state = state;
    m_state_since[known.id] = now;
    m_updates.add(known.id);
    ++m_revision;
}

absl::Duration membership::next_sync_interval(bool is_alone) const
{
    if (is_alone)
    {
        return m_options.period;
    }
    const auto intervals =
        1 + m_members.size() / m_options.members_per_interval;
    return m_options.sync_interval * static_cast<std::int64_t>(intervals);
}

void membership::send_sync(bool is_alone, messages& out)
{
    ++m_sync_count;
    const auto sequence = ++m_last_sequence;
    auto targets = reachable_members(true);
    const auto others = reachable_members(false);
    targets.insert(targets.end(), others.begin(), others.end());
    if (!targets.empty())
    {
        const auto& target = *targets[m_random() % targets.size()];
        out.push_back(
            {target.address,
             make_message(gossip_message::kind::sync_request, sequence)});
    }
    // Seeds are included rarely, because the whole fleet contacts them.
    const bool includes_seed = is_alone || m_sync_count % syncs_per_seed == 0;
    if (!m_seeds.empty() && includes_seed)
    {
        const auto& seed = m_seeds[m_random() % m_seeds.size()];
        out.push_back(
            {seed, make_message(gossip_message::kind::sync_request, sequence)});
    }
}

void membership::reply_to_sync(const gossip_message& message, messages& out)
{
    auto reply =
        make_message(gossip_message::kind::sync_reply, message.sequence);
    reply.leaving.assign(m_leaving.begin(), m_leaving.end());
    reply.updates.clear();
    for (const auto& [id, item] : m_members)
    {
        if (reply.updates.size() >= members_per_sync_reply)
        {
            out.push_back({message.sender.address, reply});
            reply.updates.clear();
        }
        reply.updates.push_back(item);
    }
    out.push_back({message.sender.address, std::move(reply)});
}

std::vector<outgoing_gossip>
membership::on_message(const gossip_message& message, absl::Time now)
{
    using kind = gossip_message::kind;
    messages out;
    if (message.sender.id == m_self.id)
    {
        return out;
    }
    // 1. Merge the updates of the message, including its sender's state.
    const bool is_sender_current = merge_update(message.sender, now);
    for (const auto& update : message.updates)
    {
        merge_update(update, now);
    }
    for (const auto& host : message.leaving)
    {
        add_leaving(host);
    }
    // 2. Respond by message type.
    if (message.type == kind::ping)
    {
        auto ack = make_message(kind::ack, message.sequence);
        // A sender that is suspect or dead here learns of it and can refute.
        const auto known = m_members.find(message.sender.id);
        if (!is_sender_current && known != m_members.end())
        {
            ack.updates.push_back(known->second);
        }
        out.push_back({message.sender.address, std::move(ack)});
    }
    else if (message.type == kind::ack)
    {
        handle_ack(message.sequence, out);
    }
    else if (message.type == kind::indirect_ping)
    {
        const auto target = m_members.find(message.target);
        if (target != m_members.end())
        {
            const auto sequence = ++m_last_sequence;
            m_pings[sequence] = {message.target, now, true,
                                 message.sender.address, message.sequence};
            out.push_back(
                {target->second.address, make_message(kind::ping, sequence)});
        }
    }
    else if (message.type == kind::sync_request)
    {
        reply_to_sync(message, out);
    }
    return out;
}

void membership::handle_ack(std::uint64_t sequence, messages& out)
{
    const auto found = m_pings.find(sequence);
    if (found == m_pings.end())
    {
        return;
    }
    const auto acknowledged = found->second;
    m_pings.erase(found);
    if (acknowledged.requester.empty())
    {
        return;
    }
    auto forwarded = make_message(gossip_message::kind::ack,
                                  acknowledged.requester_sequence);
    const auto target = m_members.find(acknowledged.target);
    if (target != m_members.end())
    {
        forwarded.updates.push_back(target->second);
    }
    out.push_back({acknowledged.requester, std::move(forwarded)});
}

/// @return false if a known state overrides the received one
bool membership::merge_update(const member& received, absl::Time now)
{
    if (received.id == m_self.id)
    {
        refute(received);
        return true;
    }
    const auto found = m_members.find(received.id);
    if (found == m_members.end())
    {
        m_members[received.id] = received;
        m_state_since[received.id] = now;
        m_updates.add(received.id);
        ++m_revision;
        return true;
    }
    auto& known = found->second;
    if (received.overrides(known))
    {
        const auto applied = received.started == known.started
                                 ? std::max(received.applied, known.applied)
                                 : received.applied;
        known = received;
        known.applied = applied;
        m_state_since[received.id] = now;
        m_updates.add(received.id);
        ++m_revision;
        return true;
    }
    const bool is_same = !known.overrides(received);
    const bool is_progress =
        is_same && (received.applied > known.applied ||
                    (received.is_draining && !known.is_draining));
    if (is_progress)
    {
        // Progress of a host is not gossiped: hosts that need it request it.
        known.applied = std::max(known.applied, received.applied);
        known.is_draining = known.is_draining || received.is_draining;
        ++m_revision;
    }
    return is_same;
}

void membership::refute(const member& received)
{
    const bool is_own_incarnation = received.started == m_self.started;
    if (is_own_incarnation && received.state != member_state::alive &&
        received.refutation >= m_self.refutation)
    {
        m_self.refutation = received.refutation + 1;
    }
}

std::vector<outgoing_gossip>
membership::request_states(const std::vector<host_id>& hosts)
{
    messages out;
    for (const auto& id : hosts)
    {
        const auto found = m_members.find(id);
        if (found == m_members.end())
        {
            continue;
        }
        // The ping is not tracked, so a missing ack raises no suspicion.
        out.push_back(
            {found->second.address,
             make_message(gossip_message::kind::ping, ++m_last_sequence)});
    }
    return out;
}

void membership::set_applied(log_offset applied)
{
    m_self.applied = std::max(m_self.applied, applied);
}

void membership::set_draining()
{
    m_self.is_draining = true;
    ++m_revision;
}

std::vector<outgoing_gossip> membership::leave()
{
    m_self.state = member_state::left;
    messages out;
    auto targets = reachable_members(true);
    const auto others = reachable_members(false);
    targets.insert(targets.end(), others.begin(), others.end());
    std::shuffle(targets.begin(), targets.end(), m_random);
    for (std::size_t i = 0; i < std::min(leave_messages, targets.size()); ++i)
    {
        out.push_back(
            {targets[i]->address,
             make_message(gossip_message::kind::ack, ++m_last_sequence)});
    }
    return out;
}

bool membership::add_leaving(const host_id& host)
{
    if (!m_leaving.insert(host).second)
    {
        return false;
    }
    m_leaving_updates.add(host);
    ++m_revision;
    return true;
}

} // namespace daleshelf
