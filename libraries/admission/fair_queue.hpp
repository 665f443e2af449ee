/// @file
/// Requests that wait for an upstream, in a fair order.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <base/share_basis.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace daleshelf
{

/// A request that waits.
struct queued_request
{
    request_id id;
    workspace_id workspace;
    double weight = 1; ///< of the workspace
    std::int64_t priority = 0;
    double estimated_work = 1; ///< tokens
};

/// Higher priorities go first. Within one, the workspace that has had the
/// least work for its weight goes first. Work is charged as estimated when a
/// request leaves the queue and corrected when it has ended; what a workspace
/// can owe, or have saved up, is bounded. Charging after the fact with a
/// bounded deficit follows "Tail Contagion" (sections on budgets and
/// deficits), with tokens in place of processor time.
class fair_queue
{
public:
    /// @param basis what workspaces are charged by
    explicit fair_queue(share_basis basis);

    void set_basis(share_basis basis)
    {
        m_basis = basis;
    }

    /// @param request what waits
    void push(const queued_request& request);

    /// @return the request whose turn it is
    [[nodiscard]] std::optional<queued_request> pop();

    /// Puts back at the front what was taken but could not be placed.
    void push_front(const queued_request& request);

    /// @return whether it was there
    bool remove(const request_id& id);

    /// Charges work that went to a workspace past the queue, or corrects an
    /// estimate; may be negative.
    void charge(const workspace_id& workspace, double weight, double work);

    /// @return how many requests would go before one more of the workspace
    [[nodiscard]] std::int64_t requests_before(const workspace_id& workspace,
                                               std::int64_t priority) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_size;
    }

private:
    using workspace_queues = std::map<workspace_id, std::deque<queued_request>>;

    double cost(const queued_request& request) const;
    double& account(const workspace_id& workspace);

    share_basis m_basis;
    /// By priority, the highest first.
    std::map<std::int64_t, workspace_queues, std::greater<>> m_queues;
    std::map<workspace_id, double> m_accounts; ///< work for weight
    double m_now = 0; ///< account of the workspace served last
    std::size_t m_size = 0;
};

} // namespace daleshelf
