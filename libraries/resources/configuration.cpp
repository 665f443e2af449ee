#include "configuration.hpp"

#include <algorithm>
#include <array>
#include <base/json.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

template <typename Value>
absl::flat_hash_set<Value> read_set(const boost::json::object& body,
                                    std::string_view key)
{
    absl::flat_hash_set<Value> values;
    if (const auto* list = find_array(body, key))
    {
        for (const auto& item : *list)
        {
            values.insert(Value(std::string(item.as_string())));
        }
    }
    return values;
}

std::chrono::milliseconds read_time(const boost::json::object& body,
                                    std::string_view key,
                                    std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(
        find_integer(body, key).value_or(fallback.count()));
}

bool is_open_to(const workspace_set& allowed, const workspace_id& user)
{
    return allowed.empty() || allowed.contains(user);
}

} // namespace

configuration::configuration(const resource_store& store)
    : m_next(store.next()), m_resources(store.resources())
{
    for (const auto& [key, item] : m_resources)
    {
        add(*item);
    }
    connect();
}

void configuration::add(const resource& item)
{
    using adder = void (configuration::*)(const resource&);
    static constexpr std::array<adder, all_resource_kinds.size()> adders{
        &configuration::add_workspace,
        nullptr, // models and adapters matter to placement only
        nullptr,
        &configuration::add_deployment,
        &configuration::add_upstream,
        &configuration::add_service,
        &configuration::add_policy,
    };
    const auto add_item = adders.at(static_cast<std::size_t>(item.key.kind));
    if (add_item != nullptr)
    {
        (this->*add_item)(item);
    }
}

void configuration::add_workspace(const resource& item)
{
    workspace_entry entry;
    entry.id = workspace_id(item.key.name);
    entry.weight = find_number(item.body, "weight").value_or(entry.weight);
    entry.max_in_flight =
        find_integer(item.body, "max_in_flight").value_or(entry.max_in_flight);
    for (const auto& key : read_set<std::string>(item.body, "keys_sha256"))
    {
        m_workspaces_by_key[key] = entry;
    }
}

void configuration::add_deployment(const resource& item)
{
    deployment_entry entry;
    entry.name = item.key.name;
    entry.engine_model = find_string(item.body, "adapter")
                             .value_or(require_string(item.body, "model"));
    entry.replicas_per_hall =
        find_integer(item.body, "replicas_per_hall").value_or(0);
    entry.priority = find_integer(item.body, "priority").value_or(0);
    entry.workspaces = read_set<workspace_id>(item.body, "workspaces");
    entry.halls = read_set<hall_id>(item.body, "halls");
    m_deployments[entry.name] = std::move(entry);
}

void configuration::add_upstream(const resource& item)
{
    auto entry = std::make_shared<upstream_entry>();
    const auto& body = item.body;
    entry->id = upstream_id(item.key.name);
    if (require_string(body, "type") == "service")
    {
        entry->type = upstream_entry::kind::service;
    }
    entry->url = require_string(body, "url");
    entry->hall = hall_id(require_string(body, "hall"));
    entry->host = host_id(find_string(body, "host").value_or(item.key.name));
    entry->machine_class = find_string(body, "machine_class").value_or("");
    entry->price_per_hour =
        find_number(body, "price_per_hour").value_or(entry->price_per_hour);
    entry->is_reclaimable = find_boolean(body, "reclaimable").value_or(true);
    entry->is_fencing_checked =
        find_boolean(body, "checks_fencing").value_or(false);
    entry->max_concurrency =
        find_integer(body, "max_concurrency").value_or(entry->max_concurrency);
    entry->service = service_name(find_string(body, "service").value_or(""));
    entry->models = read_set<std::string>(body, "models");
    m_upstreams_by_id[entry->id] = entry;
    m_upstreams.push_back(std::move(entry));
}

void configuration::add_service(const resource& item)
{
    service_entry entry;
    entry.name = service_name(item.key.name);
    entry.workspaces = read_set<workspace_id>(item.body, "workspaces");
    if (item.body.contains("repeatable_methods"))
    {
        entry.repeatable_methods =
            read_set<std::string>(item.body, "repeatable_methods");
    }
    entry.timeout = read_time(item.body, "timeout_ms", entry.timeout);
    m_services[entry.name] = std::move(entry);
}

void configuration::add_policy(const resource& item)
{
    if (item.key.name != "default")
    {
        return;
    }
    const auto& body = item.body;
    m_policy.default_deadline =
        read_time(body, "default_deadline_ms", m_policy.default_deadline);
    m_policy.max_attempts =
        find_integer(body, "max_attempts").value_or(m_policy.max_attempts);
    m_policy.retry_budget_percent =
        find_number(body, "retry_budget_percent")
            .value_or(m_policy.retry_budget_percent);
    const auto move = find_string(body, "move").value_or("cheapest");
    if (move == "finish_only")
    {
        m_policy.move = move_policy::finish_only;
    }
    else if (move == "cache_only")
    {
        m_policy.move = move_policy::cache_only;
    }
    else if (move == "recompute_only")
    {
        m_policy.move = move_policy::recompute_only;
    }
    if (find_string(body, "fair_share") == "requests")
    {
        m_policy.fair_share = share_basis::requests;
    }
    m_policy.longest_queue_wait =
        read_time(body, "longest_queue_wait_ms", m_policy.longest_queue_wait);
    const auto routing = find_string(body, "routing").value_or("affinity");
    if (routing == "least_in_flight")
    {
        m_policy.routing = routing_strategy::least_in_flight;
    }
    else if (routing == "round_robin")
    {
        m_policy.routing = routing_strategy::round_robin;
    }
    m_policy.first_token_target =
        read_time(body, "first_token_target_ms", m_policy.first_token_target);
    m_policy.between_tokens_target = read_time(body, "between_tokens_target_ms",
                                               m_policy.between_tokens_target);
}

void configuration::connect()
{
    using upstream_list = std::vector<std::shared_ptr<const upstream_entry>>;
    for (auto& [name, service] : m_services)
    {
        upstream_list served;
        for (const auto& upstream : m_upstreams)
        {
            if (upstream->type == upstream_entry::kind::service &&
                upstream->service == name)
            {
                served.push_back(upstream);
            }
        }
        service.upstreams = upstream_ring(std::move(served));
    }
    for (auto& [name, deployment] : m_deployments)
    {
        upstream_list served;
        for (const auto& upstream : m_upstreams)
        {
            const bool is_in_hall = deployment.halls.empty() ||
                                    deployment.halls.contains(upstream->hall);
            if (is_in_hall &&
                upstream->models.contains(deployment.engine_model))
            {
                served.push_back(upstream);
            }
        }
        deployment.upstreams = upstream_ring(std::move(served));
    }
}

const workspace_entry*
configuration::find_workspace_by_key(const std::string& key_sha256) const
{
    const auto found = m_workspaces_by_key.find(key_sha256);
    return found == m_workspaces_by_key.end() ? nullptr : &found->second;
}

const deployment_entry*
configuration::find_deployment(const std::string& name,
                               const workspace_id& user) const
{
    const auto found = m_deployments.find(name);
    if (found == m_deployments.end() ||
        !is_open_to(found->second.workspaces, user))
    {
        return nullptr;
    }
    return &found->second;
}

const service_entry* configuration::find_service(const service_name& name,
                                                 const workspace_id& user) const
{
    const auto found = m_services.find(name);
    if (found == m_services.end() ||
        !is_open_to(found->second.workspaces, user))
    {
        return nullptr;
    }
    return &found->second;
}

const upstream_entry* configuration::find_upstream(const upstream_id& id) const
{
    const auto found = m_upstreams_by_id.find(id);
    return found == m_upstreams_by_id.end() ? nullptr : found->second.get();
}

std::vector<std::string>
configuration::deployments_for(const workspace_id& user) const
{
    std::vector<std::string> names;
    for (const auto& [name, deployment] : m_deployments)
    {
        if (is_open_to(deployment.workspaces, user))
        {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace daleshelf
