/// @file
/// How an order is carried out by the holder of the duties.
#pragma once

#include "canary_analysis.hpp"
#include "rollout_message.hpp"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>

namespace daleshelf
{

/// The users' bound on what a bad version may get.
struct exposure_bound
{
    double share = 0.1; ///< of the requests between the order and its deadline
    double slack = 50;  ///< requests besides
};

/// What the holder lets hosts do next.
struct rollout_step
{
    double share = 0; ///< of requests, that go to the target
    /// The end of the order; nothing while it runs.
    std::optional<rollout_phase> end;
    std::string reason;
};

/// Carries one order out: a small share of all requests goes to the target for
/// most of its time, then all of them shortly before its deadline, as late as
/// the bound asks for: even if the version turned bad in that moment, it would
/// have got no more than it may. It is taken back at the first proof. What was
/// seen is told by hosts as sums since the order, so that another holder may go
/// on. Free of I/O. See docs/design/rollouts.md.
class rollout_controller
{
public:
    /// @param ordered_at when the order was first seen, by any holder
    rollout_controller(rollout_order order, absl::Time ordered_at,
                       const exposure_bound& bound);

    /// Takes a host's report.
    void take(const rollout_report& report);

    /// @return what hosts may do; to be called a few times a second
    [[nodiscard]] rollout_step next(absl::Time now);

    [[nodiscard]] const rollout_order& order() const
    {
        return m_order;
    }

    /// @return all that was seen, by all hosts
    [[nodiscard]] rollout_statistics seen() const;

    [[nodiscard]] const canary_analysis& judge() const
    {
        return m_judge;
    }

private:
    [[nodiscard]] double trial_share(const rollout_statistics& seen,
                                     absl::Time now) const;
    [[nodiscard]] double requests_left(const rollout_statistics& seen,
                                       absl::Time now) const;
    [[nodiscard]] bool may_move_all(const rollout_statistics& seen,
                                    absl::Time now) const;
    [[nodiscard]] bool is_within_share(const rollout_statistics& seen) const;

    rollout_order m_order;
    absl::Time m_ordered_at;
    exposure_bound m_bound;
    std::map<std::pair<host_id, incarnation>, rollout_statistics> m_reports;
    canary_analysis m_judge;
    absl::Time m_moved_at = absl::InfiniteFuture(); ///< all requests
};

} // namespace daleshelf
