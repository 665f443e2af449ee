#include "membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daleshelf
{

namespace
{

// News is passed on this many times the logarithm of the fleet's size.
constexpr double transmission_factor = 3;
constexpr std::size_t members_per_sync = 64;
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

int membership::transmissions() const
{
    const auto size = static_cast<double>(m_members.size() + 2);
    return static_cast<int>(std::ceil(transmission_factor * std::log2(size)));
}

gossip_message membership::make(gossip_message::kind what,
                                std::uint64_t sequence)
{
    gossip_message message;
    message.what = what;
    message.sequence = sequence;
    message.sender = m_self;
    const auto most = m_options.updates_per_message;
    for (const auto& id : m_updates.take(most, transmissions()))
    {
        const auto found = m_members.find(id);
        if (found != m_members.end())
        {
            message.updates.push_back(found->second);
        }
    }
    message.leaving =
        m_leaving_updates.take(m_options.leaving_per_message, transmissions());
    return message;
}

std::vector<outgoing_gossip> membership::on_tick(absl::Time now)
{
    messages out;
    // docs/design/membership.md, "A period".
    // 1. Pings without an answer: first indirect ones, then suspicion.
    check_pings(now, out);
    expire_suspects(now);
    // 2. Ping the next host of the hall, and at times one of another hall.
    if (now >= m_next_period)
    {
        m_next_period = now + m_options.period;
        ++m_period;
        ping_next(true, now, out);
        if (m_period % 2 == 0)
        {
            ping_next(false, now, out);
        }
        // 3. Hosts that were lost may be back, with the part of the fleet
        //    that they know.
        if (m_period % periods_between_probes == 0)
        {
            probe_lost(now, out);
        }
    }
    // 4. Compare everything with one host from time to time.
    const bool is_alone = candidates(true).empty() && candidates(false).empty();
    if (now >= m_next_sync)
    {
        m_next_sync = now + next_sync_interval(is_alone);
        send_sync(is_alone, out);
    }
    return out;
}

std::vector<const member*> membership::candidates(bool is_own_hall) const
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
    const auto targets = candidates(is_own_hall);
    if (!targets.empty())
    {
        ping(*targets[m_random() % targets.size()], now, out);
    }
}

void membership::ping(const member& target, absl::Time now, messages& out)
{
    const auto sequence = ++m_last_sequence;
    m_pings[sequence] = {target.id, now, false, "", 0};
    out.push_back({target.address, make(gossip_message::kind::ping, sequence)});
}

void membership::probe_lost(absl::Time now, messages& out)
{
    std::vector<const member*> lost;
    for (const auto& [id, item] : m_members)
    {
        if (item.state == member_state::dead)
        {
            lost.push_back(&item);
        }
    }
    if (lost.empty())
    {
        return;
    }
    ping(*lost[m_random() % lost.size()], now, out);
}

void membership::check_pings(absl::Time now, messages& out)
{
    for (auto entry = m_pings.begin(); entry != m_pings.end();)
    {
        auto& waiting = entry->second;
        const auto age = now - waiting.sent;
        if (age < m_options.ack_timeout)
        {
            ++entry;
            continue;
        }
        const bool is_own = waiting.origin.empty();
        if (is_own && !waiting.is_indirect_sent)
        {
            waiting.is_indirect_sent = true;
            send_indirect(waiting, entry->first, out);
        }
        if (age < m_options.period)
        {
            ++entry;
            continue;
        }
        const auto found = m_members.find(waiting.target);
        if (is_own && found != m_members.end() &&
            found->second.state == member_state::alive)
        {
            set_state(found->second, member_state::suspect, now);
        }
        entry = m_pings.erase(entry);
    }
}

void membership::send_indirect(const pending_ping& lost, std::uint64_t sequence,
                               messages& out)
{
    auto helpers = candidates(true);
    const auto others = candidates(false);
    helpers.insert(helpers.end(), others.begin(), others.end());
    std::erase_if(helpers, [&lost](const member* item)
                  { return item->id == lost.target; });
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    const auto count = std::min(
        helpers.size(), static_cast<std::size_t>(m_options.indirect_pings));
    for (std::size_t i = 0; i < count; ++i)
    {
        auto message = make(gossip_message::kind::indirect_ping, sequence);
        message.target = lost.target;
        out.push_back({helpers[i]->address, std::move(message)});
    }
}

void membership::expire_suspects(absl::Time now)
{
    for (auto entry = m_members.begin(); entry != m_members.end();)
    {
        auto& item = entry->second;
        const auto age = now - m_since[item.id];
        if (item.state == member_state::suspect &&
            age > m_options.suspicion_time)
        {
            set_state(item, member_state::dead, now);
        }
        if (!is_reachable(item) && age > m_options.forget_time)
        {
            m_since.erase(item.id);
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
    m_since[known.id] = now;
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
    ++m_syncs;
    const auto sequence = ++m_last_sequence;
    auto targets = candidates(true);
    const auto others = candidates(false);
    targets.insert(targets.end(), others.begin(), others.end());
    if (!targets.empty())
    {
        const auto& target = *targets[m_random() % targets.size()];
        out.push_back({target.address,
                       make(gossip_message::kind::sync_request, sequence)});
    }
    // Seeds would else hear from the whole fleet.
    const bool is_seeds_turn = is_alone || m_syncs % syncs_per_seed == 0;
    if (!m_seeds.empty() && is_seeds_turn)
    {
        const auto& seed = m_seeds[m_random() % m_seeds.size()];
        out.push_back(
            {seed, make(gossip_message::kind::sync_request, sequence)});
    }
}

void membership::answer_sync(const gossip_message& message, messages& out)
{
    auto reply = make(gossip_message::kind::sync_reply, message.sequence);
    reply.leaving.assign(m_leaving.begin(), m_leaving.end());
    reply.updates.clear();
    for (const auto& [id, item] : m_members)
    {
        if (reply.updates.size() >= members_per_sync)
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
    // 1. Take what the message says of hosts, its sender included.
    const bool is_sender_current = take(message.sender, now);
    for (const auto& update : message.updates)
    {
        take(update, now);
    }
    for (const auto& host : message.leaving)
    {
        add_leaving(host);
    }
    // 2. Do what it asks for.
    if (message.what == kind::ping)
    {
        auto ack = make(kind::ack, message.sequence);
        // A sender that is held for dead learns so and can refute it.
        const auto known = m_members.find(message.sender.id);
        if (!is_sender_current && known != m_members.end())
        {
            ack.updates.push_back(known->second);
        }
        out.push_back({message.sender.address, std::move(ack)});
    }
    else if (message.what == kind::ack)
    {
        take_ack(message.sequence, out);
    }
    else if (message.what == kind::indirect_ping)
    {
        const auto target = m_members.find(message.target);
        if (target != m_members.end())
        {
            const auto sequence = ++m_last_sequence;
            m_pings[sequence] = {message.target, now, true,
                                 message.sender.address, message.sequence};
            out.push_back({target->second.address, make(kind::ping, sequence)});
        }
    }
    else if (message.what == kind::sync_request)
    {
        answer_sync(message, out);
    }
    return out;
}

void membership::take_ack(std::uint64_t sequence, messages& out)
{
    const auto found = m_pings.find(sequence);
    if (found == m_pings.end())
    {
        return;
    }
    const auto answered = found->second;
    m_pings.erase(found);
    if (answered.origin.empty())
    {
        return;
    }
    auto passed = make(gossip_message::kind::ack, answered.origin_sequence);
    const auto target = m_members.find(answered.target);
    if (target != m_members.end())
    {
        passed.updates.push_back(target->second);
    }
    out.push_back({answered.origin, std::move(passed)});
}

/// @return false if something that overrides it was known already
bool membership::take(const member& heard, absl::Time now)
{
    if (heard.id == m_self.id)
    {
        refute(heard);
        return true;
    }
    const auto found = m_members.find(heard.id);
    if (found == m_members.end())
    {
        m_members[heard.id] = heard;
        m_since[heard.id] = now;
        m_updates.add(heard.id);
        ++m_revision;
        return true;
    }
    auto& known = found->second;
    if (heard.overrides(known))
    {
        const auto applied = heard.started == known.started
                                 ? std::max(heard.applied, known.applied)
                                 : heard.applied;
        known = heard;
        known.applied = applied;
        m_since[heard.id] = now;
        m_updates.add(heard.id);
        ++m_revision;
        return true;
    }
    const bool is_same = !known.overrides(heard);
    const bool is_further =
        is_same && (heard.applied > known.applied ||
                    (heard.is_draining && !known.is_draining));
    if (is_further)
    {
        // What a host has reached is not passed on: whoever needs it asks.
        known.applied = std::max(known.applied, heard.applied);
        known.is_draining = known.is_draining || heard.is_draining;
        ++m_revision;
    }
    return is_same;
}

void membership::refute(const member& heard)
{
    const bool is_about_now = heard.started == m_self.started;
    if (is_about_now && heard.state != member_state::alive &&
        heard.refutation >= m_self.refutation)
    {
        m_self.refutation = heard.refutation + 1;
    }
}

std::vector<outgoing_gossip> membership::ask(const std::vector<host_id>& hosts)
{
    messages out;
    for (const auto& id : hosts)
    {
        const auto found = m_members.find(id);
        if (found == m_members.end())
        {
            continue;
        }
        // Its answer is not waited for, so that it raises no suspicion.
        out.push_back({found->second.address,
                       make(gossip_message::kind::ping, ++m_last_sequence)});
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
    auto targets = candidates(true);
    const auto others = candidates(false);
    targets.insert(targets.end(), others.begin(), others.end());
    std::shuffle(targets.begin(), targets.end(), m_random);
    for (std::size_t i = 0; i < std::min(leave_messages, targets.size()); ++i)
    {
        out.push_back({targets[i]->address,
                       make(gossip_message::kind::ack, ++m_last_sequence)});
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
