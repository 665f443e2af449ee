/// @file
/// Membership of entry hosts by gossip, free of I/O.
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

/// Times and sizes of the protocol.
struct membership_options
{
    absl::Duration period = absl::Milliseconds(500);
    absl::Duration ack_timeout = absl::Milliseconds(200);
    absl::Duration suspicion_time = absl::Seconds(3);
    absl::Duration sync_interval = absl::Seconds(10);
    absl::Duration forget_time = absl::Minutes(10); ///< of dead hosts
    int indirect_pings = 3;
    std::size_t updates_per_message = 12;
    /// A hall's worth of hosts can begin to leave at once.
    std::size_t leaving_per_message = 64;
    /// With more members the comparisons become rarer in proportion, so that
    /// their cost stays the same.
    std::size_t members_per_interval = 32;
};

/// Knows which entry hosts are there.
///
/// Every period one host of the own hall and, every other period, one of
/// another hall is pinged; news rides on these messages. A node's cost thus
/// does not grow with the fleet. The protocol follows SWIM (Das, Gupta and
/// Motivala, 2002): direct and indirect pings, suspicion, refutation. See
/// docs/design/membership.md.
class membership
{
public:
    /// @param self this host
    /// @param options times and sizes
    /// @param seed of the random choice of targets
    membership(member self, const membership_options& options,
               std::uint64_t seed);

    /// Addresses to ask for the others until some are known, and from time to
    /// time after, so that parts of the fleet find each other again.
    void set_seeds(std::vector<std::string> addresses);

    /// @param now the time
    /// @return messages to send
    [[nodiscard]] std::vector<outgoing_gossip> on_tick(absl::Time now);

    /// @param message what has come
    /// @param now the time
    /// @return messages to send
    [[nodiscard]] std::vector<outgoing_gossip>
    on_message(const gossip_message& message, absl::Time now);

    /// Asks the given hosts for their present state.
    [[nodiscard]] std::vector<outgoing_gossip>
    ask(const std::vector<host_id>& hosts);

    /// This host has applied the log up to there.
    void set_applied(log_offset applied);

    /// This host takes no new requests.
    void set_draining();

    /// This host ends; tells some others.
    [[nodiscard]] std::vector<outgoing_gossip> leave();

    /// A host of the platform is leaving; it never comes back.
    /// @return whether this was news
    bool add_leaving(const host_id& host);

    [[nodiscard]] const member& self() const
    {
        return m_self;
    }

    /// @return all other hosts that are known, dead ones too
    [[nodiscard]] const std::map<host_id, member>& members() const
    {
        return m_members;
    }

    /// @return hosts of the platform that are known to leave
    [[nodiscard]] const std::set<host_id>& leaving() const
    {
        return m_leaving;
    }

    /// @return changes whenever a host's state or the leaving hosts change
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    /// A ping that waits for its answer.
    struct pending_ping
    {
        host_id target;
        absl::Time sent;
        bool is_indirect_sent = false;
        std::string origin; ///< who asked for it; empty: this host
        std::uint64_t origin_sequence = 0;
    };

    using messages = std::vector<outgoing_gossip>;

    void ping_next(bool is_own_hall, absl::Time now, messages& out);
    void ping(const member& target, absl::Time now, messages& out);
    void probe_lost(absl::Time now, messages& out);
    void check_pings(absl::Time now, messages& out);
    void send_indirect(const pending_ping& lost, std::uint64_t sequence,
                       messages& out);
    void expire_suspects(absl::Time now);
    void send_sync(bool is_alone, messages& out);
    absl::Duration next_sync_interval(bool is_alone) const;
    void answer_sync(const gossip_message& message, messages& out);
    void take_ack(std::uint64_t sequence, messages& out);
    bool take(const member& heard, absl::Time now);
    void refute(const member& heard);
    void set_state(member& known, member_state state, absl::Time now);
    gossip_message make(gossip_message::kind what, std::uint64_t sequence);
    std::vector<const member*> candidates(bool is_own_hall) const;
    int transmissions() const;

    membership_options m_options;
    member m_self;
    std::mt19937_64 m_random;
    std::vector<std::string> m_seeds;
    std::map<host_id, member> m_members;
    std::map<host_id, absl::Time> m_since; ///< when the state was taken on
    std::set<host_id> m_leaving;
    update_queue<host_id> m_updates;
    update_queue<host_id> m_leaving_updates;
    std::map<std::uint64_t, pending_ping> m_pings;
    std::uint64_t m_last_sequence = 0;
    std::uint64_t m_period = 0;
    std::uint64_t m_syncs = 0;
    std::uint64_t m_revision = 0;
    absl::Time m_next_period = absl::InfinitePast();
    absl::Time m_next_sync = absl::InfinitePast();
};

} // namespace daleshelf
