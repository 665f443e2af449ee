/// @file
/// Weighted fair queue of requests that wait for an upstream.
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

/// A request in the queue.
struct queued_request
{
    request_id id;
    workspace_id workspace;
    double weight = 1; ///< of the workspace
    std::int64_t priority = 0;
    double estimated_work = 1; ///< tokens
};

/// Serves higher priorities first. Within a priority, serves the workspace with
/// the lowest virtual time, which is the work charged to it divided by its
/// weight. Estimated work is charged when a request leaves the queue and
/// corrected when the request has ended. The credit and the deficit of a
/// workspace are bounded. Charging after execution with a bounded deficit
/// follows "Tail Contagion" (sections on budgets and deficits), with tokens in
/// place of processor time.
class fair_queue
{
public:
    /// @param basis unit in which workspaces are charged: work or requests
    explicit fair_queue(share_basis basis);

    void set_basis(share_basis basis)
    {
        m_basis = basis;
    }

    /// Appends a request to the queue of its workspace.
    /// @param request the request
    void push(const queued_request& request);

    /// Removes the next request and charges its workspace.
    /// @return the request; nothing if the queue is empty
    [[nodiscard]] std::optional<queued_request> pop();

    /// Returns a popped request that could not be placed to the front of the
    /// queue of its workspace, and refunds its cost.
    /// @param request the request
    void push_front(const queued_request& request);

    /// @param id the request to remove
    /// @return whether the request was in the queue
    bool remove(const request_id& id);

    /// Charges work that bypassed the queue, or corrects an estimate. Has no
    /// effect unless the basis is work.
    /// @param workspace the workspace to charge
    /// @param weight weight of the workspace
    /// @param work tokens; may be negative
    void charge(const workspace_id& workspace, double weight, double work);

    /// @param workspace workspace of a new request
    /// @param priority priority of the new request
    /// @return estimated number of requests served before the new one
    [[nodiscard]] std::int64_t requests_before(const workspace_id& workspace,
                                               std::int64_t priority) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_size;
    }

private:
    using workspace_queues = std::map<workspace_id, std::deque<queued_request>>;

    double cost(const queued_request& request) const;
    double& virtual_time(const workspace_id& workspace);

    share_basis m_basis;
    /// Queues by priority, highest first.
    std::map<std::int64_t, workspace_queues, std::greater<>> m_queues;
    std::map<workspace_id, double> m_virtual_times; ///< work divided by weight
    double m_system_virtual_time = 0; ///< maximum virtual time at service
    std::size_t m_size = 0;
};

} // namespace daleshelf
