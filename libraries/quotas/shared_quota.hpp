/// @file
/// Quotas that all hosts share, as one host sees them.
#pragma once

#include "fleet_roster.hpp"
#include "quota_claim.hpp"
#include "quota_message.hpp"
#include "quota_pool.hpp"
#include "quota_subject.hpp"
#include "share_meter.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <upstream_limits/limit_table.hpp>
#include <utility>
#include <vector>

namespace daleshelf
{

/// What a peer tells of itself.
struct quota_peer
{
    host_id name;
    hall_id hall;
    incarnation started;
    bool is_stopping = false;
    std::int64_t fleet_size = 0; ///< hosts that it counts, with itself
};

/// Limits what a workspace uses through all hosts together. Each host earns
/// its share of the time and gives it to the keeper of its hall; keepers turn
/// it into parts of each workspace's quota, and every request takes its cost
/// from a keeper before it runs. What is granted is never more than the time
/// that passed is worth, whatever is lost, late, killed or cut off: nothing is
/// inferred from what others are believed to have used. Free of I/O. See
/// docs/design/quotas.md.
class shared_quota
{
public:
    shared_quota(host_id self, hall_id hall, incarnation started,
                 const quota_options& options);

    /// Takes the limits of a new configuration.
    void set_limits(const std::vector<ingress_tenant>& workspaces)
    {
        m_pool.set_limits(workspaces);
    }

    /// The fleet as the store lists it, or as a peer does.
    /// @param was_listed whether this host was in the list before its start:
    /// then all others count it already
    void note_fleet(bool was_listed, absl::Time now);

    /// Notes what an answer of an upstream says of its limit.
    /// @param time_of_day as the fleet agrees on it
    void record_answer(const limit_table::upstream_response& seen,
                       absl::Time now, absl::Time time_of_day);

    /// Merges what another host knows of an upstream's limit.
    void merge_limit(const limit_record& told, absl::Time now);

    /// Forgets limits of upstreams that are gone.
    void evict_limits(const std::function<bool(const upstream_life&)>& is_gone,
                      absl::Time now);

    /// @return the limits of upstreams, as far as known here
    [[nodiscard]] limit_table& limits()
    {
        return m_limits;
    }

    [[nodiscard]] const limit_table& limits() const
    {
        return m_limits;
    }

    /// A peer is heard.
    void hear(const quota_peer& peer, absl::Time now);

    [[nodiscard]] fleet_roster& roster()
    {
        return m_roster;
    }

    /// Sets how long it takes until all others have heard of a new host.
    void set_join_time(absl::Duration time)
    {
        m_join_time = time;
        m_roster.set_state_time(time);
    }

    /// Begins the end of this process.
    void stop();

    /// To be called several times a second.
    /// @return what is to be sent
    [[nodiscard]] std::vector<addressed_quota_message> tick(absl::Time now);

    /// @return an answer to the sender, if there is one
    [[nodiscard]] std::optional<quota_message>
    receive(const quota_message& message, absl::Time now);

    /// Begins to take a request's cost.
    [[nodiscard]] quota_claim open_claim(const quota_subject& subject,
                                         double cost, absl::Time now) const;

    /// Goes on: at first, when an answer has come, and when none has come in
    /// time.
    [[nodiscard]] claim_step advance(quota_claim& claim, absl::Time now);

    /// Gives back what a request took that has not run.
    void refund(const quota_subject& subject, double cost);

    /// @return whether the answer to an ask has come
    [[nodiscard]] bool has_answer(std::int64_t ask) const;

    /// @return the time in which the subject's whole quota earns the cost
    [[nodiscard]] absl::Duration time_to_earn(const quota_subject& subject,
                                              double cost) const;

    /// @return what this host keeps for others
    [[nodiscard]] quota_pool& pool()
    {
        return m_pool;
    }

    /// @return this host's share of the fleet's time; 0: not yet known
    [[nodiscard]] double share() const
    {
        return m_meter.share();
    }

    /// @return the most hosts that this one, or a peer heard lately, counts:
    /// what is divided by it is shared by no more, also while halls are cut off
    [[nodiscard]] std::size_t counted_hosts(absl::Time now) const;

    /// @return hosts of the fleet that this one knows of, with itself
    [[nodiscard]] std::size_t fleet_size() const
    {
        return m_roster.size();
    }

private:
    using short_key = std::pair<host_id, quota_subject>;

    /// The newest message of a keeper.
    struct keeper_echo
    {
        host_id keeper;
        std::int64_t sequence = 0;
        absl::Time heard_at = absl::InfinitePast();
    };

    [[nodiscard]] double share_at(absl::Time now) const;
    [[nodiscard]] quota_message new_message(quota_message_kind kind);
    [[nodiscard]] addressed_quota_message deposit_to(const host_id& keeper,
                                                     absl::Time now);
    [[nodiscard]] addressed_quota_message
    return_to(const host_id& keeper, const quota_subject& subject,
              double amount);
    void give_back_unused(const host_id& keeper, absl::Time now,
                          std::vector<addressed_quota_message>& messages);
    void apply_limit(const upstream_id& upstream);
    [[nodiscard]] double granted_for(const quota_message& ask, absl::Time now);
    [[nodiscard]] bool is_recent(std::int64_t sequence, absl::Time now);
    void take_grant(const quota_message& message);
    void take_back(const quota_message& message, absl::Time now);
    void close_ask(quota_claim& claim, absl::Time now);
    void spend_unspent(quota_claim& claim);
    [[nodiscard]] bool is_short(const host_id& keeper,
                                const quota_subject& subject,
                                absl::Time now) const;

    host_id m_self;
    hall_id m_hall;
    incarnation m_started;
    bool m_is_stopping = false;
    fleet_roster m_roster;
    share_meter m_meter;
    quota_pool m_pool;
    limit_table m_limits;
    std::int64_t m_sequence = 0;
    absl::Duration m_join_time;
    absl::Time m_fleet_known_at = absl::InfiniteFuture();
    bool m_was_listed = false;
    /// What each peer has told of the fleet's size, and when.
    std::map<host_id, std::pair<std::int64_t, absl::Time>> m_told_sizes;
    absl::Time m_deposited_at = absl::InfinitePast();
    host_id m_unseen_keeper; ///< to whom a deposit is on its way
    /// Whether the last deposit named no answer of its keeper, and so no
    /// credit.
    bool m_is_credit_held = false;
    keeper_echo m_echo;
    /// What this keeper has answered lately: sequences and times.
    std::deque<std::pair<std::int64_t, absl::Time>> m_seen_sent;
    std::map<quota_subject, double> m_unspent;
    /// Granted amounts of open asks, by sequence; nothing: no answer yet.
    std::map<std::int64_t, std::optional<double>> m_answers;
    std::set<std::int64_t> m_late_asks;
    /// The newest of each host that was taken.
    std::map<host_id, std::pair<incarnation, std::int64_t>> m_last_returns;
    std::map<short_key, absl::Time> m_short_until;
};

} // namespace daleshelf
