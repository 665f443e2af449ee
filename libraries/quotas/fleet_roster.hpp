/// @file
/// The hosts that share quotas, and which of them keep the pools.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <map>
#include <vector>

namespace daleshelf
{

/// Who belongs to the fleet. A host that is only silent still belongs to
/// it: it may serve on behind a cut, with its share. Each hall has one keeper,
/// the first by a hash of the names among those that are not known to be away;
/// hosts need not agree on it. See docs/design/quotas.md.
class fleet_roster
{
public:
    fleet_roster(host_id self, hall_id hall);

    /// A host is said to be there.
    void list(const host_id& host, const hall_id& hall, absl::Time now);

    /// A host is heard.
    void hear(const host_id& host, const hall_id& hall, incarnation started,
              bool is_stopping, absl::Time now);

    /// A host has not answered.
    void note_silence(const host_id& host, absl::Time now);

    /// Sets how long it takes until a host's state has gone to all.
    void set_state_time(absl::Duration time)
    {
        m_state_time = time;
    }

    /// This host keeps no pool any more, if another one can.
    void stop()
    {
        m_is_stopping = true;
    }

    /// Strikes hosts off that have said that they stop, and those that are
    /// gone for good by the word of most others.
    void strike_gone(absl::Time now);

    /// @return hosts of the fleet, with this one
    [[nodiscard]] std::size_t size() const
    {
        return m_members.size() + 1;
    }

    /// @return the start of a host that was last heard; 0: never heard
    [[nodiscard]] incarnation started_of(const host_id& host) const;

    /// @return a keeper a hall, that of this host's hall first; halls that
    /// do not answer are left out
    [[nodiscard]] std::vector<host_id> keepers(absl::Time now) const;

private:
    struct member
    {
        /// By a hash of the name, kept: keepers are looked for at each request.
        std::uint64_t rank = 0;
        hall_id hall;
        incarnation started;
        bool is_stopping = false;
        int unanswered = 0;
        absl::Time unanswered_at = absl::InfinitePast();
        absl::Time listed_at = absl::InfinitePast();
        absl::Time heard_at = absl::InfinitePast();
        absl::Time away_until = absl::InfinitePast();
    };

    member& member_of(const host_id& host);
    [[nodiscard]] bool is_gone(const member& of, absl::Time now) const;
    [[nodiscard]] bool is_hall_away(const hall_id& hall, absl::Time now) const;
    [[nodiscard]] bool is_heard(const member& of, absl::Time now) const;
    [[nodiscard]] bool hears_most(absl::Time now) const;
    [[nodiscard]] bool hears_hall(const hall_id& hall, absl::Time now) const;

    host_id m_self;
    hall_id m_hall;
    bool m_is_stopping = false;
    absl::Duration m_state_time = absl::Seconds(3);
    std::map<host_id, member> m_members;
    std::map<hall_id, absl::Time> m_hall_away_until;
};

} // namespace daleshelf
