/// @file
/// The declared resources, made ready for traffic.
#pragma once

#include "resource_store.hpp"
#include "upstream_ring.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <base/identifiers.hpp>
#include <base/move_policy.hpp>
#include <base/share_basis.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace daleshelf
{

/// A workspace, as traffic needs it.
struct workspace_entry
{
    workspace_id id;
    double weight = 1;
    std::int64_t max_in_flight = 10000;
};

/// Who may use a thing; nobody named: everybody.
using workspace_set = absl::flat_hash_set<workspace_id>;

/// An upstream, as traffic needs it.
struct upstream_entry
{
    enum class kind
    {
        engine,
        service,
    };

    upstream_id id;
    kind type = kind::engine;
    std::string url;
    hall_id hall;
    host_id host;
    std::string machine_class;
    double price_per_hour = 1;
    bool is_reclaimable = true;
    bool is_fencing_checked = false;
    std::int64_t max_concurrency = 64;
    service_name service;
    absl::flat_hash_set<std::string> models;
};

/// A deployment: what callers name as the model.
struct deployment_entry
{
    std::string name;
    std::int64_t replicas_per_hall = 0; ///< 0: not placed by daleshelf
    std::int64_t priority = 0;
    std::string engine_model; ///< model or adapter that engines are asked for
    workspace_set workspaces;
    absl::flat_hash_set<hall_id> halls;
    upstream_ring upstreams;
};

/// A plain service.
struct service_entry
{
    service_name name;
    workspace_set workspaces;
    absl::flat_hash_set<std::string> repeatable_methods{"GET", "HEAD"};
    std::chrono::milliseconds timeout{30000};
    upstream_ring upstreams;
};

/// How upstreams are chosen.
enum class routing_strategy
{
    affinity,        ///< where the prompt's prefix is likely to be cached
    least_in_flight, ///< baseline
    round_robin,     ///< baseline
};

/// Limits and targets; the policy named `default`.
struct policy_entry
{
    std::chrono::milliseconds default_deadline{120000};
    std::int64_t max_attempts = 4;
    double retry_budget_percent = 20;
    move_policy move = move_policy::cheapest;
    share_basis fair_share = share_basis::work;
    std::chrono::milliseconds longest_queue_wait{2000};
    routing_strategy routing = routing_strategy::affinity;
    std::chrono::milliseconds first_token_target{520};
    std::chrono::milliseconds between_tokens_target{62};
};

/// Immutable view of all resources at one offset.
class configuration
{
public:
    configuration() = default;

    /// @param store the resources
    explicit configuration(const resource_store& store);

    /// @return the workspace with a bearer key, or null
    [[nodiscard]] const workspace_entry*
    find_workspace_by_key(const std::string& key_sha256) const;

    /// @return the deployment if the workspace may use it, or null
    [[nodiscard]] const deployment_entry*
    find_deployment(const std::string& name, const workspace_id& user) const;

    /// @return the service if the workspace may call it, or null
    [[nodiscard]] const service_entry*
    find_service(const service_name& name, const workspace_id& user) const;

    /// @return the upstream, or null
    [[nodiscard]] const upstream_entry*
    find_upstream(const upstream_id& id) const;

    /// @return names of the deployments that a workspace may use
    [[nodiscard]] std::vector<std::string>
    deployments_for(const workspace_id& user) const;

    [[nodiscard]] const std::vector<std::shared_ptr<const upstream_entry>>&
    upstreams() const
    {
        return m_upstreams;
    }

    [[nodiscard]] const absl::flat_hash_map<std::string, deployment_entry>&
    deployments() const
    {
        return m_deployments;
    }

    [[nodiscard]] const policy_entry& policy() const
    {
        return m_policy;
    }

    [[nodiscard]] const resource_store::table& resources() const
    {
        return m_resources;
    }

    /// @return the first offset that is not part of this view
    [[nodiscard]] log_offset next() const
    {
        return m_next;
    }

private:
    void add(const resource& item);
    void add_workspace(const resource& item);
    void add_deployment(const resource& item);
    void add_upstream(const resource& item);
    void add_service(const resource& item);
    void add_policy(const resource& item);
    void connect();

    log_offset m_next;
    resource_store::table m_resources;
    policy_entry m_policy;
    std::vector<std::shared_ptr<const upstream_entry>> m_upstreams;
    absl::flat_hash_map<std::string, workspace_entry> m_workspaces_by_key;
    absl::flat_hash_map<std::string, deployment_entry> m_deployments;
    absl::flat_hash_map<service_name, service_entry> m_services;
    absl::flat_hash_map<upstream_id, std::shared_ptr<const upstream_entry>>
        m_upstreams_by_id;
};

} // namespace daleshelf
