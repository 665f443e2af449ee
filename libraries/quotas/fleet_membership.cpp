#include "fleet_membership.hpp"

#include <xxhash.h>

#include <algorithm>

namespace daleshelf
{

namespace
{

// A single timeout may be a lost datagram; two in a row mark a host
// unreachable.
constexpr int max_consecutive_timeouts = 2;
// Timeouts of messages that were in flight together count once.
constexpr absl::Duration timeout_merge_window = absl::Milliseconds(100);
// An unreachable host is tried again after this time.
constexpr absl::Duration unreachable_retry_delay = absl::Seconds(2);
// A host that announced its shutdown and is silent for this long has stopped.
constexpr absl::Duration leave_grace_period = absl::Seconds(3);
// A host that is silent while its hall is not has departed after this time, but
// not before its state was due several times. Restarts, freezes and partitions
// of single hosts are shorter.
constexpr absl::Duration departure_timeout = absl::Seconds(30);
constexpr int departure_propagations = 4;
// A host counts as in contact if one of its last states has arrived.
constexpr int contact_propagations = 3;
// Differs from the seed that ranks the readers of the host list, so that the
// two duties fall to different hosts.
constexpr XXH64_hash_t rank_seed = 19;

std::uint64_t rank_of(const host_id& host)
{
    return XXH3_64bits_withSeed(host.value().data(), host.value().size(),
                                rank_seed);
}

} // namespace

fleet_membership::fleet_membership(host_id self, hall_id hall)
    : m_self(std::move(self)), m_hall(std::move(hall))
{
}

void fleet_membership::add_host(const host_id& host, const hall_id& hall,
                                absl::Time now)
{
    if (host == m_self)
    {
        return;
    }
    auto& added = find_or_add_member(host);
    if (added.listed_at == absl::InfinitePast() &&
        added.last_contact_at == absl::InfinitePast())
    {
        added.hall = hall;
        added.listed_at = now;
    }
}

fleet_membership::member&
fleet_membership::find_or_add_member(const host_id& host)
{
    const auto [position, is_new] = m_members.try_emplace(host);
    if (is_new)
    {
        position->second.rank = rank_of(host);
    }
    return position->second;
}

void fleet_membership::update(const host_id& host, const hall_id& hall,
                              incarnation host_incarnation, bool is_stopping,
                              absl::Time now)
{
    if (host == m_self)
    {
        return;
    }
    auto& sender = find_or_add_member(host);
    if (host_incarnation < sender.host_incarnation)
    {
        return;
    }
    sender.hall = hall;
    sender.host_incarnation = host_incarnation;
    sender.is_stopping = is_stopping;
    sender.last_contact_at = now;
    sender.consecutive_timeouts = 0;
    sender.unreachable_until = absl::InfinitePast();
    m_hall_unreachable_until.erase(hall);
}

void fleet_membership::record_timeout(const host_id& host, absl::Time now)
{
    const auto found = m_members.find(host);
    if (found == m_members.end())
    {
        return;
    }
    auto& unresponsive = found->second;
    if (now - unresponsive.last_timeout_at < timeout_merge_window)
    {
        return;
    }
    unresponsive.last_timeout_at = now;
    ++unresponsive.consecutive_timeouts;
    if (unresponsive.consecutive_timeouts < max_consecutive_timeouts)
    {
        return;
    }
    unresponsive.unreachable_until = now + unreachable_retry_delay;
    if (unresponsive.hall != m_hall)
    {
        // During a partition no host of that hall would respond.
        m_hall_unreachable_until[unresponsive.hall] =
            now + unreachable_retry_delay;
    }
}

void fleet_membership::evict_departed(absl::Time now)
{
    const bool has_majority = has_contact_with_majority(now);
    for (auto position = m_members.begin(); position != m_members.end();)
    {
        const auto& peer = position->second;
        const bool has_left =
            peer.is_stopping && now - peer.last_contact_at > leave_grace_period;
        const bool is_evicted =
            has_left || (has_majority && has_departed(peer, now));
        position = is_evicted ? m_members.erase(position) : std::next(position);
    }
}

incarnation fleet_membership::incarnation_of(const host_id& host) const
{
    const auto found = m_members.find(host);
    return found == m_members.end() ? incarnation()
                                    : found->second.host_incarnation;
}

std::vector<host_id> fleet_membership::keepers(absl::Time now) const
{
    struct ranked_host
    {
        std::uint64_t rank;
        const host_id* name;
    };
    std::map<hall_id, ranked_host> by_hall;
    if (!m_is_stopping)
    {
        by_hall[m_hall] = {rank_of(m_self), &m_self};
    }
    for (const auto& [name, peer] : m_members)
    {
        if (peer.is_stopping || now < peer.unreachable_until ||
            peer.hall.value().empty() || is_hall_unreachable(peer.hall, now))
        {
            continue;
        }
        auto& keeper =
            by_hall.try_emplace(peer.hall, ranked_host{peer.rank, &name})
                .first->second;
        if (peer.rank < keeper.rank)
        {
            keeper = {peer.rank, &name};
        }
    }
    std::vector<host_id> keepers;
    const auto own = by_hall.find(m_hall);
    keepers.push_back(own == by_hall.end() ? m_self : *own->second.name);
    for (const auto& [hall, keeper] : by_hall)
    {
        if (hall != m_hall)
        {
            keepers.push_back(*keeper.name);
        }
    }
    return keepers;
}

bool fleet_membership::is_hall_unreachable(const hall_id& hall,
                                           absl::Time now) const
{
    const auto unreachable = m_hall_unreachable_until.find(hall);
    return unreachable != m_hall_unreachable_until.end() &&
           now < unreachable->second;
}

bool fleet_membership::has_departed(const member& peer, absl::Time now) const
{
    return now - std::max(peer.last_contact_at, peer.listed_at) >
               std::max(departure_timeout,
                        m_propagation_time * departure_propagations) &&
           (peer.hall == m_hall || has_contact_with_hall(peer.hall, now));
}

bool fleet_membership::has_recent_contact(const member& peer,
                                          absl::Time now) const
{
    return now - peer.last_contact_at <=
           m_propagation_time * contact_propagations;
}

bool fleet_membership::has_contact_with_majority(absl::Time now) const
{
    const auto in_contact =
        std::count_if(m_members.begin(), m_members.end(),
                      [&](const auto& entry)
                      { return has_recent_contact(entry.second, now); });
    return static_cast<std::size_t>(in_contact) * 2 > m_members.size();
}

bool fleet_membership::has_contact_with_hall(const hall_id& hall,
                                             absl::Time now) const
{
    return std::any_of(m_members.begin(), m_members.end(),
                       [&](const auto& entry) {
                           return entry.second.hall == hall &&
                                  has_recent_contact(entry.second, now);
                       });
}

} // namespace daleshelf
