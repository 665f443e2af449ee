/// @file
/// Membership of the hosts that share quotas, and the choice of keepers.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <map>
#include <vector>

namespace daleshelf
{

/// The hosts of the fleet as this host knows them. A host that stops responding
/// remains a member, since behind a network partition it may still serve
/// requests with its share. Each hall has one keeper: the member with the
/// lowest hash of its name among those that are not known to be unreachable.
/// Hosts need not agree on the keeper. See docs/design/quotas.md.
class fleet_membership
{
public:
    fleet_membership(host_id self, hall_id hall);

    /// Adds a host that a list of the fleet contains, unless it is known
    /// already.
    void add_host(const host_id& host, const hall_id& hall, absl::Time now);

    /// Updates a host of which a message has arrived. Messages of an earlier
    /// incarnation are ignored.
    void update(const host_id& host, const hall_id& hall,
                incarnation host_incarnation, bool is_stopping, absl::Time now);

    /// Records that a host has not responded in time. Consecutive timeouts make
    /// the host unreachable for a while, and with it its hall if that is
    /// another one.
    void record_timeout(const host_id& host, absl::Time now);

    /// Sets the time in which the state of a host reaches all others.
    void set_propagation_time(absl::Duration time)
    {
        m_propagation_time = time;
    }

    /// Marks this host as stopping: it is then a keeper only if no other
    /// host of its hall can be.
    void stop()
    {
        m_is_stopping = true;
    }

    /// Removes hosts that have announced their shutdown, and, while this host
    /// is in contact with a majority of the members, those that are silent
    /// while their hall is not.
    void evict_departed(absl::Time now);

    /// @return the number of members, including this host
    [[nodiscard]] std::size_t size() const
    {
        return m_members.size() + 1;
    }

    /// @return the newest known incarnation of a host; 0 if no message of it
    /// has arrived
    [[nodiscard]] incarnation incarnation_of(const host_id& host) const;

    /// @return one keeper for each hall, that of this host's hall first; halls
    /// without a reachable member are left out
    [[nodiscard]] std::vector<host_id> keepers(absl::Time now) const;

private:
    struct member
    {
        /// Hash of the name, cached since keepers are looked up for each
        /// request.
        std::uint64_t rank = 0;
        hall_id hall;
        incarnation host_incarnation;
        bool is_stopping = false;
        int consecutive_timeouts = 0;
        absl::Time last_timeout_at = absl::InfinitePast();
        absl::Time listed_at = absl::InfinitePast();
        absl::Time last_contact_at = absl::InfinitePast();
        absl::Time unreachable_until = absl::InfinitePast();
    };

    member& find_or_add_member(const host_id& host);
    [[nodiscard]] bool has_departed(const member& peer, absl::Time now) const;
    [[nodiscard]] bool is_hall_unreachable(const hall_id& hall,
                                           absl::Time now) const;
    [[nodiscard]] bool has_recent_contact(const member& peer,
                                          absl::Time now) const;
    [[nodiscard]] bool has_contact_with_majority(absl::Time now) const;
    [[nodiscard]] bool has_contact_with_hall(const hall_id& hall,
                                             absl::Time now) const;

    host_id m_self;
    hall_id m_hall;
    bool m_is_stopping = false;
    absl::Duration m_propagation_time = absl::Seconds(3);
    std::map<host_id, member> m_members;
    std::map<hall_id, absl::Time> m_hall_unreachable_until;
};

} // namespace daleshelf
