/// @file
/// Quotas that all hosts share, as one host sees them.
#pragma once

#include "credit_accumulator.hpp"
#include "fleet_membership.hpp"
#include "quota_buckets.hpp"
#include "quota_claim.hpp"
#include "quota_message.hpp"
#include "quota_subject.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <upstream_limits/limit_table.hpp>
#include <utility>
#include <vector>

namespace daleshelf
{

/// The state of a peer, as its messages report it.
struct quota_peer
{
    host_id name;
    hall_id hall;
    incarnation host_incarnation;
    bool is_stopping = false;
    /// Number of hosts that the peer knows of, including itself.
    std::int64_t fleet_size = 0;
};

/// Limits the use of workspaces, and the requests to upstreams, across all
/// hosts. Each host accrues time credit for its share of the fleet and deposits
/// it with the keeper of its hall. Keepers refill their token buckets from
/// deposits, and each request takes its cost from a keeper before it runs. Lost
/// or late messages, crashes and partitions never raise the granted total above
/// what the passed time allows: nothing is inferred from the assumed use of
/// others. Does no I/O. See docs/design/quotas.md.
class shared_quota
{
public:
    shared_quota(host_id self, hall_id hall, incarnation host_incarnation,
                 const quota_options& options);

    /// Replaces the limits of workspaces by those of a new configuration.
    void set_limits(const std::vector<ingress_tenant>& workspaces)
    {
        m_buckets.set_limits(workspaces);
    }

    /// Records that the hosts of the fleet are known, from the store's list or
    /// from a peer.
    /// @param was_listed whether the list contained this host before this
    /// process started; all others then count it already
    void record_fleet_discovery(bool was_listed, absl::Time now);

    /// Records what a response of an upstream says about its limit.
    /// @param time_of_day time of day that the fleet agrees on
    void record_response(const limit_table::upstream_response& response,
                         absl::Time now, absl::Time time_of_day);

    /// Merges another host's record of an upstream's limit.
    void merge_limit(const limit_record& peer_record, absl::Time now);

    /// Drops the limits of upstreams that are gone.
    void evict_limits(
        const std::function<bool(const upstream_incarnation&)>& is_gone,
        absl::Time now);

    /// @return the known limits of upstreams
    [[nodiscard]] limit_table& limits()
    {
        return m_limits;
    }

    [[nodiscard]] const limit_table& limits() const
    {
        return m_limits;
    }

    /// Updates the membership and the reported fleet size from a peer's
    /// message.
    void update_peer(const quota_peer& peer, absl::Time now);

    [[nodiscard]] fleet_membership& fleet()
    {
        return m_fleet;
    }

    /// Sets the time after which all others know a new host by its state. The
    /// new host accrues credit only then, or once the keepers of all halls have
    /// counted it and passed the new size on.
    void set_join_delay(absl::Duration time)
    {
        m_join_delay = time;
        m_fleet.set_propagation_time(time);
    }

    /// Starts the shutdown of this process: it accrues no more credit, and
    /// keeps buckets only if no other host of its hall can.
    void stop();

    /// Accrues credit, deposits it and returns unused tokens; to be called
    /// several times a second.
    /// @return the messages to send
    [[nodiscard]] std::vector<addressed_quota_message> tick(absl::Time now);

    /// Processes a message.
    /// @return a reply to the sender, if there is one
    [[nodiscard]] std::optional<quota_message>
    receive(const quota_message& message, absl::Time now);

    /// Opens a claim for the cost of a request.
    /// @param cost in the subject's unit
    [[nodiscard]] quota_claim open_claim(const quota_subject& subject,
                                         double cost, absl::Time now) const;

    /// Advances a claim: at first, when a reply has arrived, and when none has
    /// arrived in time.
    [[nodiscard]] claim_step advance(quota_claim& claim, absl::Time now);

    /// Returns the tokens of a request that was not run; other requests of this
    /// host use them, or the next tick returns them to the keeper.
    /// @param cost in the subject's unit
    void refund(const quota_subject& subject, double cost);

    /// @return whether the reply to a grant request has arrived
    /// @param request_sequence sequence of the grant request
    [[nodiscard]] bool has_reply(std::int64_t request_sequence) const;

    /// @return the time in which the subject's whole quota refills by the cost;
    /// zero if the subject has no limit
    [[nodiscard]] absl::Duration refill_time(const quota_subject& subject,
                                             double cost) const;

    /// @return the token buckets that this host keeps
    [[nodiscard]] quota_buckets& buckets()
    {
        return m_buckets;
    }

    /// @return this host's share of the fleet; 0 until it is known
    [[nodiscard]] double share() const
    {
        return m_credit.share();
    }

    /// @return an upper bound of the fleet size: the largest number of hosts
    /// that this host or a recently heard peer knows of. Shares of 1 over this
    /// number never add up to more than the whole, even while halls are cut
    /// off.
    [[nodiscard]] std::size_t fleet_size_bound(absl::Time now) const;

    /// @return the number of known hosts of the fleet, including this one
    [[nodiscard]] std::size_t fleet_size() const
    {
        return m_fleet.size();
    }

private:
    using depleted_key = std::pair<host_id, quota_subject>;

    /// The newest deposit acknowledgement of a keeper.
    struct keeper_ack
    {
        host_id keeper;
        std::int64_t sequence = 0;
        absl::Time received_at = absl::InfinitePast();
    };

    [[nodiscard]] bool is_counted(absl::Time now) const;
    [[nodiscard]] bool is_known_by_keepers(absl::Time now) const;
    void announce_to_keepers(absl::Time now,
                             std::vector<addressed_quota_message>& messages);
    [[nodiscard]] double share_at(absl::Time now) const;
    [[nodiscard]] quota_message new_message(quota_message_kind kind);
    [[nodiscard]] addressed_quota_message deposit_to(const host_id& keeper,
                                                     absl::Time now);
    [[nodiscard]] addressed_quota_message
    new_release(const host_id& keeper, const quota_subject& subject,
                double amount);
    void release_unused(const host_id& keeper, absl::Time now,
                        std::vector<addressed_quota_message>& messages);
    void apply_limit(const upstream_id& upstream);
    [[nodiscard]] double granted_for(const quota_message& request,
                                     absl::Time now);
    [[nodiscard]] bool is_recent(std::int64_t sequence, absl::Time now);
    void receive_grant(const quota_message& message);
    void receive_release(const quota_message& message, absl::Time now);
    void complete_request(quota_claim& claim, absl::Time now);
    void use_unused_grants(quota_claim& claim);
    [[nodiscard]] bool is_depleted(const host_id& keeper,
                                   const quota_subject& subject,
                                   absl::Time now) const;

    host_id m_self;
    hall_id m_hall;
    incarnation m_incarnation;
    bool m_is_stopping = false;
    fleet_membership m_fleet;
    credit_accumulator m_credit;
    quota_buckets m_buckets;
    limit_table m_limits;
    std::int64_t m_sequence = 0;
    absl::Duration m_join_delay;
    absl::Time m_fleet_known_at = absl::InfiniteFuture();
    bool m_was_listed = false;
    bool m_is_counted = false; ///< all others count this host
    /// When each keeper first acknowledged a message of this host.
    std::map<host_id, absl::Time> m_first_acks;
    absl::Time m_announced_at = absl::InfinitePast();
    /// The fleet size that each peer has reported, and when.
    std::map<host_id, std::pair<std::int64_t, absl::Time>>
        m_reported_fleet_sizes;
    absl::Time m_deposited_at = absl::InfinitePast();
    host_id m_unacknowledged_keeper; ///< whose deposit is not yet acknowledged
    /// Whether the last deposit carried no credit because no recent
    /// acknowledgement of its keeper was known.
    bool m_is_credit_withheld = false;
    keeper_ack m_last_ack;
    /// Sequences and times of recently sent acknowledgements.
    std::deque<std::pair<std::int64_t, absl::Time>> m_sent_acks;
    std::map<quota_subject, double> m_unused_grants;
    /// Granted amounts of pending grant requests, by sequence; nothing if no
    /// reply has arrived.
    std::map<std::int64_t, std::optional<double>> m_pending_requests;
    std::set<std::int64_t> m_late_requests;
    /// The newest processed release of each host.
    std::map<host_id, std::pair<incarnation, std::int64_t>> m_last_releases;
    std::map<depleted_key, absl::Time> m_depleted_until;
};

} // namespace daleshelf
