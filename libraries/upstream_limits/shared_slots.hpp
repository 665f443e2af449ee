/// @file
/// Slots of brittle upstreams that all hosts share, as one host sees them.
#pragma once

#include "brittle_upstream.hpp"
#include "slot_claim.hpp"
#include "slot_keepers.hpp"
#include "slot_ledger.hpp"
#include "slot_message.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace daleshelf
{

/// Counts the requests that this host has in flight at each upstream, asks the
/// keepers of brittle upstreams for slots, and grants slots as a keeper. Two
/// hosts keep each upstream: one grants, the other hears the same reports and
/// takes over when the first is gone. Does no I/O. See
/// docs/design/brittle-upstreams.md.
class shared_slots
{
public:
    shared_slots(host_id self, hall_id hall, incarnation host_incarnation);

    /// Replaces the other known hosts.
    void set_peers(std::vector<slot_host> peers);

    /// Counts a request that is sent to an upstream, brittle or not.
    void begin(const upstream_id& server);

    /// Counts the end of such a request.
    void end(const upstream_id& server);

    /// Counts a rejection by a brittle upstream.
    void record_rejection(const upstream_id& server);

    /// Reports the use of an upstream to its keepers from now on.
    void track(const brittle_upstream& upstream);

    /// Ends the reports of all upstreams that are not in the set.
    void track_only(const absl::btree_set<upstream_id>& servers);

    /// @return whether any upstream is tracked
    [[nodiscard]] bool tracks_any() const
    {
        return !m_tracked.empty();
    }

    /// Opens a claim for one slot. Each claim must be advanced until it is
    /// granted or denied.
    [[nodiscard]] slot_claim open_claim(const brittle_upstream& upstream,
                                        absl::Time now);

    /// Advances a claim: at first, when its reply has arrived, and when none
    /// has arrived in time. A granted slot is in use from the call of `begin`
    /// that must follow at once.
    [[nodiscard]] slot_claim_step advance(slot_claim& claim, absl::Time now);

    /// @return whether the reply to a request has arrived
    [[nodiscard]] bool has_reply(std::int64_t request_sequence) const;

    /// Processes a message.
    /// @return the reply to the sender, if there is one
    [[nodiscard]] std::optional<slot_message>
    receive(const slot_message& message, absl::Time now);

    /// @return whether there are changes to report
    [[nodiscard]] bool has_changes() const
    {
        return !m_changed.empty();
    }

    /// @return reports of the uses that have changed since the last call
    [[nodiscard]] std::vector<addressed_slot_message>
    take_changes(absl::Time now);

    /// Evicts expired state; to be called a few times a second.
    /// @return reports of all uses of tracked upstreams, and of those that have
    /// ended a short while ago: earlier reports may be lost
    [[nodiscard]] std::vector<addressed_slot_message> tick(absl::Time now);

    /// @return requests of this host at an upstream
    [[nodiscard]] std::int64_t in_flight(const upstream_id& server) const;

    /// @return the slots that this host grants as a keeper
    [[nodiscard]] const slot_ledger& ledger() const
    {
        return m_ledger;
    }

private:
    /// This host's requests at one upstream.
    struct own_use
    {
        std::int64_t in_flight = 0;
        std::int64_t rejected = 0;
        std::set<std::int64_t> pending; ///< sequences of open requests
        absl::Time changed_at = absl::InfinitePast();
    };

    /// The replies of a keeper.
    struct keeper_state
    {
        int timeouts = 0; ///< consecutive ones
        absl::Time avoided_until = absl::InfinitePast();
    };

    void record_timeout(const host_id& keeper, absl::Time now);
    void mark_changed(const upstream_id& server);
    [[nodiscard]] bool is_avoided(const host_id& keeper, absl::Time now) const;
    [[nodiscard]] slot_use use_of(const brittle_upstream& upstream) const;
    [[nodiscard]] slot_message new_message(slot_message_kind kind);
    [[nodiscard]] slot_message new_request(const slot_claim& claim);
    [[nodiscard]] std::optional<bool> take_reply(slot_claim& claim);
    void close_request(slot_claim& claim);
    [[nodiscard]] std::vector<addressed_slot_message>
    reports_of(const absl::btree_set<upstream_id>& servers, absl::Time now);

    host_id m_self;
    hall_id m_hall;
    incarnation m_incarnation;
    std::vector<slot_host> m_hosts; ///< with this one
    std::int64_t m_sequence = 0;
    absl::flat_hash_map<upstream_id, own_use> m_uses;
    absl::btree_map<upstream_id, brittle_upstream> m_tracked;
    absl::btree_set<upstream_id> m_changed;
    /// Replies to requests whose claims are open; nothing: none has arrived.
    std::map<std::int64_t, std::optional<bool>> m_replies;
    absl::flat_hash_map<host_id, keeper_state> m_keepers;
    slot_ledger m_ledger;
};

} // namespace daleshelf
