/// @file
/// SWIM membership of the entry hosts; free of I/O.
#pragma once

#include "gossip_message.hpp"
#include "member.hpp"
#include "update_queue.hpp"

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace daleshelf
{

/// Intervals, timeouts and message sizes of the protocol.
struct membership_options
{
    /// Protocol period: interval between two pings to the own hall.
    absl::Duration period = absl::Milliseconds(500);
    /// Time without an ack after which indirect pings are sent.
    absl::Duration ack_timeout = absl::Milliseconds(200);
    /// Time after which a suspect that did not refute is dead.
    absl::Duration suspicion_timeout = absl::Seconds(3);
    /// Interval between two exchanges of the full member list, for up to
    /// `members_per_interval` members.
    absl::Duration sync_interval = absl::Seconds(10);
    /// Time after which a member that is dead or has left is evicted.
    absl::Duration eviction_timeout = absl::Minutes(10);
    int indirect_pings = 3;
    std::size_t updates_per_message = 12;
    /// Covers all hosts of a hall, which can begin to leave at the same time.
    std::size_t leaving_per_message = 64;
    /// With more members, full exchanges become rarer in proportion, so that
    /// their cost stays constant.
    std::size_t members_per_interval = 32;
};

/// Maintains the list of entry hosts and detects those that fail.
///
/// The protocol follows SWIM (Das, Gupta and Motivala, 2002): direct and
/// indirect pings, suspicion and refutation. In each period it pings one random
/// host of the own hall and, in every second period, also one of another hall.
/// Updates are piggybacked on these messages, so the load of a host does not
/// grow with the fleet. See docs/design/membership.md.
class membership
{
public:
    /// @param self this host
    /// @param options intervals, timeouts and message sizes
    /// @param seed seed of the random choice of targets
    membership(member self, const membership_options& options,
               std::uint64_t seed);

    /// Sets the addresses to request the member list from: until some members
    /// are known, and periodically afterwards, so that the parts of a
    /// partitioned fleet find each other again.
    void set_seeds(std::vector<std::string> addresses);

    /// Runs the timers of the protocol.
    /// @param now the current time
    /// @return messages to send
    [[nodiscard]] std::vector<outgoing_gossip> on_tick(absl::Time now);

    /// Merges a received message and responds to it.
    /// @param message the received message
    /// @param now the current time
    /// @return messages to send
    [[nodiscard]] std::vector<outgoing_gossip>
    on_message(const gossip_message& message, absl::Time now);

    /// Pings the given hosts for their current state, without suspecting those
    /// that do not respond. Unknown hosts are skipped.
    /// @return messages to send
    [[nodiscard]] std::vector<outgoing_gossip>
    request_states(const std::vector<host_id>& hosts);

    /// Sets the first log offset that this host has not applied; it never
    /// decreases.
    void set_applied(log_offset applied);

    /// Marks this host as draining: it accepts no new requests.
    void set_draining();

    /// Marks this host as left and announces it to a few others.
    /// @return messages to send
    [[nodiscard]] std::vector<outgoing_gossip> leave();

    /// Adds a host of the platform that is leaving; it never returns.
    /// @return whether the host was not known to be leaving
    bool add_leaving(const host_id& host);

    [[nodiscard]] const member& self() const
    {
        return m_self;
    }

    /// @return all other known hosts, including dead ones
    [[nodiscard]] const std::map<host_id, member>& members() const
    {
        return m_members;
    }

    /// @return hosts of the platform that are known to be leaving
    [[nodiscard]] const std::set<host_id>& leaving() const
    {
        return m_leaving;
    }

    /// @return a number that changes with every change of a member or of the
    /// leaving hosts
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    /// A ping that has not been acknowledged.
    struct pending_ping
    {
        host_id target;
        absl::Time sent;
        bool is_indirect_sent = false;
        std::string requester; ///< address for an indirect ping; empty: none
        std::uint64_t requester_sequence = 0;
    };

    using messages = std::vector<outgoing_gossip>;

    void ping_next(bool is_own_hall, absl::Time now, messages& out);
    void ping(const member& target, absl::Time now, messages& out);
    void probe_dead(absl::Time now, messages& out);
    void check_pings(absl::Time now, messages& out);
    void send_indirect_pings(const pending_ping& unanswered,
                             std::uint64_t sequence, messages& out);
    void expire_suspects(absl::Time now);
    void send_sync(bool is_alone, messages& out);
    absl::Duration next_sync_interval(bool is_alone) const;
    void reply_to_sync(const gossip_message& message, messages& out);
    void handle_ack(std::uint64_t sequence, messages& out);
    bool merge_update(const member& received, absl::Time now);
    void refute(const member& received);
    void set_state(member& known, member_state state, absl::Time now);
    gossip_message make_message(gossip_message::kind type,
                                std::uint64_t sequence);
    std::vector<const member*> reachable_members(bool is_own_hall) const;
    int max_transmissions() const;

    membership_options m_options;
    member m_self;
    std::mt19937_64 m_random;
    std::vector<std::string> m_seeds;
    std::map<host_id, member> m_members;
    std::map<host_id, absl::Time> m_state_since; ///< when the state was set
    std::set<host_id> m_leaving;
    update_queue<host_id> m_updates;
    update_queue<host_id> m_leaving_updates;
    std::map<std::uint64_t, pending_ping> m_pings;
    std::uint64_t m_last_sequence = 0;
    std::uint64_t m_period_count = 0;
    std::uint64_t m_sync_count = 0;
    std::uint64_t m_revision = 0;
    absl::Time m_next_period = absl::InfinitePast();
    absl::Time m_next_sync = absl::InfinitePast();
};

} // namespace daleshelf
