/// @file
/// Executes a rollout order on the duty holder.
#pragma once

#include "canary_analysis.hpp"
#include "rollout_message.hpp"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>

namespace daleshelf
{

/// The limit on the requests that a bad version may receive: a share of the
/// requests between the order and its deadline, plus a constant.
struct exposure_bound
{
    double share = 0.1; ///< of the requests until the deadline, 0 to 1
    double slack = 50;  ///< additional requests
};

/// The next step of a rollout.
struct rollout_step
{
    double share = 0; ///< of requests that go to the target, 0 to 1
    /// The final phase of the order; nothing while it is running.
    std::optional<rollout_phase> final_phase;
    std::string reason; ///< for the event log
};

/// Executes one order as a canary rollout. The target receives a small share of
/// the requests for most of the order's duration and all requests shortly
/// before the deadline. That switch is late enough that the exposure bound
/// holds even if the target turns bad at that moment. The order is rolled back
/// as soon as the canary analysis finds the target bad. Hosts report cumulative
/// statistics since the order, so that another duty holder can continue. Free
/// of I/O. See docs/design/rollouts.md.
class rollout_controller
{
public:
    /// @param ordered_at when the order was first read by any duty holder
    /// @param bound the limit on the requests that the target may receive
    rollout_controller(rollout_order order, absl::Time ordered_at,
                       const exposure_bound& bound);

    /// Stores a host's report, replacing an earlier one of the same
    /// incarnation; reports on other orders and outdated ones are ignored.
    void add_report(const rollout_report& report);

    /// @return the step to announce to the hosts; to be called several times a
    /// second
    [[nodiscard]] rollout_step next_step(absl::Time now);

    /// @return the order that is executed
    [[nodiscard]] const rollout_order& order() const
    {
        return m_order;
    }

    /// @return the sum of the statistics of all hosts
    [[nodiscard]] rollout_statistics statistics() const;

    /// @return the analysis as of the last step
    [[nodiscard]] const canary_analysis& analysis() const
    {
        return m_analysis;
    }

private:
    [[nodiscard]] double canary_share(const rollout_statistics& statistics,
                                      absl::Time now) const;
    [[nodiscard]] double expected_requests(const rollout_statistics& statistics,
                                           absl::Time now) const;
    [[nodiscard]] bool can_move_all(const rollout_statistics& statistics,
                                    absl::Time now) const;
    [[nodiscard]] bool
    is_within_bound(const rollout_statistics& statistics) const;

    rollout_order m_order;
    absl::Time m_ordered_at;
    exposure_bound m_bound;
    std::map<std::pair<host_id, incarnation>, rollout_statistics> m_reports;
    canary_analysis m_analysis;
    absl::Time m_all_moved_at =
        absl::InfiniteFuture(); ///< when the share became 1
};

} // namespace daleshelf
