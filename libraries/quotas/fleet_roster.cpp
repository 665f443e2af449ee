#include "fleet_roster.hpp"

#include <xxhash.h>

#include <algorithm>

namespace daleshelf
{

namespace
{

// One lost datagram says little, two in a row that a host is away.
constexpr int most_unanswered = 2;
// Messages that were on their way together say no more than one of them.
constexpr absl::Duration same_silence = absl::Milliseconds(100);
// A host that was away is tried again after this time.
constexpr absl::Duration away_time = absl::Seconds(2);
// A host that said that it stops, and is silent, has stopped.
constexpr absl::Duration farewell_time = absl::Seconds(3);
// A host whose hall is heard, and which is not, is gone after this time, and
// not before its state should have come several times; longer than restarts,
// freezes and cuts of single hosts last.
constexpr absl::Duration gone_time = absl::Seconds(30);
constexpr int gone_states = 4;
// A host is heard if one of its last states has come.
constexpr int heard_states = 3;
// Other than for the readers of the list, so that others do this.
constexpr XXH64_hash_t rank_seed = 19;

std::uint64_t rank_of(const host_id& host)
{
    return XXH3_64bits_withSeed(host.value().data(), host.value().size(),
                                rank_seed);
}

} // namespace

fleet_roster::fleet_roster(host_id self, hall_id hall)
    : m_self(std::move(self)), m_hall(std::move(hall))
{
}

void fleet_roster::list(const host_id& host, const hall_id& hall,
                        absl::Time now)
{
    if (host == m_self)
    {
        return;
    }
    auto& listed = member_of(host);
    if (listed.listed_at == absl::InfinitePast() &&
        listed.heard_at == absl::InfinitePast())
    {
        listed.hall = hall;
        listed.listed_at = now;
    }
}

fleet_roster::member& fleet_roster::member_of(const host_id& host)
{
    const auto [at, is_new] = m_members.try_emplace(host);
    if (is_new)
    {
        at->second.rank = rank_of(host);
    }
    return at->second;
}

void fleet_roster::hear(const host_id& host, const hall_id& hall,
                        incarnation started, bool is_stopping, absl::Time now)
{
    if (host == m_self)
    {
        return;
    }
    auto& heard = member_of(host);
    if (started < heard.started)
    {
        return;
    }
    heard.hall = hall;
    heard.started = started;
    heard.is_stopping = is_stopping;
    heard.heard_at = now;
    heard.unanswered = 0;
    heard.away_until = absl::InfinitePast();
    m_hall_away_until.erase(hall);
}

void fleet_roster::note_silence(const host_id& host, absl::Time now)
{
    const auto found = m_members.find(host);
    if (found == m_members.end())
    {
        return;
    }
    auto& silent = found->second;
    if (now - silent.unanswered_at < same_silence)
    {
        return;
    }
    silent.unanswered_at = now;
    ++silent.unanswered;
    if (silent.unanswered < most_unanswered)
    {
        return;
    }
    silent.away_until = now + away_time;
    if (silent.hall != m_hall)
    {
        // Behind a cut none of them would answer.
        m_hall_away_until[silent.hall] = now + away_time;
    }
}

void fleet_roster::strike_gone(absl::Time now)
{
    const bool hears_others = hears_most(now);
    for (auto at = m_members.begin(); at != m_members.end();)
    {
        const auto& of = at->second;
        const bool has_left =
            of.is_stopping && now - of.heard_at > farewell_time;
        const bool is_struck = has_left || (hears_others && is_gone(of, now));
        at = is_struck ? m_members.erase(at) : std::next(at);
    }
}

incarnation fleet_roster::started_of(const host_id& host) const
{
    const auto found = m_members.find(host);
    return found == m_members.end() ? incarnation() : found->second.started;
}

std::vector<host_id> fleet_roster::keepers(absl::Time now) const
{
    struct first_host
    {
        std::uint64_t rank;
        const host_id* name;
    };
    std::map<hall_id, first_host> by_hall;
    if (!m_is_stopping)
    {
        by_hall[m_hall] = {rank_of(m_self), &m_self};
    }
    for (const auto& [name, of] : m_members)
    {
        if (of.is_stopping || now < of.away_until || of.hall.value().empty() ||
            is_hall_away(of.hall, now))
        {
            continue;
        }
        auto& keeper = by_hall.try_emplace(of.hall, first_host{of.rank, &name})
                           .first->second;
        if (of.rank < keeper.rank)
        {
            keeper = {of.rank, &name};
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

bool fleet_roster::is_hall_away(const hall_id& hall, absl::Time now) const
{
    const auto away = m_hall_away_until.find(hall);
    return away != m_hall_away_until.end() && now < away->second;
}

bool fleet_roster::is_gone(const member& of, absl::Time now) const
{
    return now - std::max(of.heard_at, of.listed_at) >
               std::max(gone_time, m_state_time * gone_states) &&
           (of.hall == m_hall || hears_hall(of.hall, now));
}

bool fleet_roster::is_heard(const member& of, absl::Time now) const
{
    return now - of.heard_at <= m_state_time * heard_states;
}

bool fleet_roster::hears_most(absl::Time now) const
{
    const auto heard = std::count_if(m_members.begin(), m_members.end(),
                                     [&](const auto& entry)
                                     { return is_heard(entry.second, now); });
    return static_cast<std::size_t>(heard) * 2 > m_members.size();
}

bool fleet_roster::hears_hall(const hall_id& hall, absl::Time now) const
{
    return std::any_of(m_members.begin(), m_members.end(),
                       [&](const auto& entry) {
                           return entry.second.hall == hall &&
                                  is_heard(entry.second, now);
                       });
}

} // namespace daleshelf
