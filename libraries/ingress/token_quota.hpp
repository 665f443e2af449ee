/// @file
/// Quotas that all machines share.
#pragma once

#include "ingress_configuration.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace daleshelf
{

/// Use of one quota's window by tenant, in equal parts of the window, the
/// oldest first.
using use_history = std::map<workspace_id, std::vector<double>>;

/// What a tenant may use within any span of the window's length: its rate
/// times that length, and its burst. Every machine counts what it lets through
/// itself and what its peers tell. A machine that cannot reach all others
/// keeps to the share of machines that it does reach, so that parts of a cut
/// fleet together stay within the limit. See docs/design/platform.md.
class token_quota
{
public:
    /// What is assumed of the time before this machine's start.
    enum class initial_use
    {
        none,    ///< the whole system starts for the first time
        unknown, ///< all may have been used, unless a peer knows better
    };

    token_quota(absl::Duration window, initial_use initial);

    /// Takes the limits of a new configuration.
    void set_limits(const std::vector<ingress_tenant>& tenants, absl::Time now);

    /// Begins the time between two exchanges with peers. What is left of a
    /// quota is divided for it, since nobody hears of the others' use before
    /// its end.
    /// @param reached machines that this one reaches, itself included
    /// @param known all machines that it knows of
    void begin_interval(std::size_t reached, std::size_t known, absl::Time now);

    /// @param cost in the tenant's unit
    /// @return whether the request is within the quota; it is counted then
    [[nodiscard]] bool try_take(const workspace_id& tenant, double cost,
                                absl::Time now);

    /// Gives back what a request took that has not run.
    void refund(const workspace_id& tenant, double cost, absl::Time now);

    /// Counts what another machine has used.
    void count_peer(const workspace_id& tenant, double cost, absl::Time now);

    /// Who tells what was used before this machine's start; a better source
    /// replaces a worse one.
    enum class history_source
    {
        log,  ///< the last holder of the duties
        peer, ///< a machine that has been up for longer
    };

    /// Takes what all machines had used within the window.
    /// @return whether it is taken: no better source was heard before
    bool adopt(const use_history& history, history_source source,
               absl::Time now);

    /// @return whether what is counted of the window is known, rather than
    /// assumed: a guess is not worth telling others
    [[nodiscard]] bool knows_history(absl::Time now) const;

    /// @return time until `cost` may be within the quota
    [[nodiscard]] absl::Duration wait_for(const workspace_id& tenant,
                                          double cost, absl::Time now);

    /// @return what this machine has used in its life, by tenant
    [[nodiscard]] const std::map<workspace_id, double>& own_use() const
    {
        return m_own_use;
    }

    /// @return whether so much of a tenant's quota is used that other machines
    /// need to hear of more at once
    [[nodiscard]] bool is_pressed(const workspace_id& tenant) const;

    /// What this machine counts of one tenant's quota.
    struct view
    {
        double counted = 0; ///< used by all, within the window, as far as heard
        double assumed = 0; ///< used before this start, told or guessed
        double own = 0;     ///< used through this machine, in its life
        double allowed = 0; ///< to the machines that this one reaches
        double share = 0;   ///< that this machine may use in this interval
    };

    /// @return the view of each tenant whose quota is running out
    [[nodiscard]] std::map<workspace_id, view> pressed_views() const;

    /// @return what all machines have used within the window, as far as known
    [[nodiscard]] use_history history(absl::Time now);

private:
    struct slot
    {
        absl::Time until; ///< of the newest use that it counts
        double used = 0;
        bool is_history = false; ///< of all machines, before this one's start
    };

    struct account
    {
        tenant_limit limit;
        std::deque<slot> slots;
        double used = 0;           ///< in all slots but history
        double history_used = 0;   ///< in slots of history
        double interval_share = 0; ///< that may be used in this interval
        double interval_use = 0;
    };

    [[nodiscard]] double whole_limit(const account& of) const;
    [[nodiscard]] double allowed(const account& of) const;
    [[nodiscard]] double used_share(const account& of) const;
    [[nodiscard]] double left(const account& of) const;
    void forget_old(account& of, absl::Time now) const;
    void add(account& to, double cost, absl::Time now) const;
    void assume(account& of, const std::vector<double>& use,
                absl::Time now) const;
    void assume_initial_use(const workspace_id& tenant, account& of,
                            absl::Time now) const;

    [[nodiscard]] const std::vector<double>*
    adopted_use(const workspace_id& tenant) const;

    absl::Duration m_window;
    initial_use m_initial;
    double m_reach = 1;
    double m_reached = 1;
    std::optional<use_history> m_adopted;
    std::optional<history_source> m_source;
    absl::Time m_counts_since = absl::InfiniteFuture();
    absl::flat_hash_map<workspace_id, account> m_accounts;
    std::map<workspace_id, double> m_own_use;
    /// Of peers, before the first limits were known.
    std::map<workspace_id, double> m_early_use;
};

} // namespace daleshelf
