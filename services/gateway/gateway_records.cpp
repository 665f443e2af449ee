// Applies the records of the store topics that the gateway follows.
#include "gateway.hpp"

#include <base/json.hpp>
#include <base/text.hpp>
#include <platform/configuration_format.hpp>
#include <platform/rollout_format.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

void gateway::apply_operator_record(const platform::keyed_record& record)
{
    if (const auto service = platform::rollout_service(record.key))
    {
        apply_rollout(*service, record);
    }
    else if (record.key == platform::configuration_key && record.value)
    {
        apply_configuration(record);
    }
}

// Orders that are missing from a complete list have been withdrawn.
void gateway::apply_operator_list(
    const std::map<std::string, platform::keyed_record>& records)
{
    for (const auto& service :
         m_state.servers.versions().services_with_orders())
    {
        if (!records.contains(platform::rollout_key(service)))
        {
            m_state.servers.versions().remove_order(service);
        }
    }
}

void gateway::apply_rollout(const service_name& service,
                            const platform::keyed_record& record)
{
    auto& versions = m_state.servers.versions();
    if (!record.value)
    {
        versions.remove_order(service);
        return;
    }
    try
    {
        const auto order = platform::read_rollout(*record.value, record.offset);
        if (versions.set_order(order))
        {
            log(events::rollout_ordered,
                {{"service", order.service.value()},
                 {"target", order.target.value()},
                 {"duration_ms",
                  std::to_string(absl::ToInt64Milliseconds(order.duration))},
                 {"offset", std::to_string(record.offset.value())}});
        }
    }
    catch (const json_error& error)
    {
        m_state.skipped.report(platform::operator_topic, record.key,
                               record.offset, error.what());
    }
}

void gateway::apply_configuration(const platform::keyed_record& record)
{
    const auto known =
        m_state.routes ? m_state.routes->configuration().version : -1;
    try
    {
        auto configuration = platform::read_configuration(*record.value);
        if (configuration.version <= known)
        {
            return;
        }
        const auto version = configuration.version;
        m_state.quota.shared().set_limits(configuration.tenants);
        m_state.routes =
            std::make_shared<const route_table>(std::move(configuration));
        evict_completion_times();
        log(events::configuration_applied,
            {{"version", std::to_string(version)},
             {"before", std::to_string(known)},
             {"offset", std::to_string(record.offset.value())},
             {"origin", std::string(name_of(m_configuration.newest_origin()))},
             {"role", std::string(name_of(m_state.role))},
             {"asked_ms_ago",
              std::to_string(m_configuration.request_age().count())}});
    }
    catch (const json_error& error)
    {
        m_state.skipped.report(platform::operator_topic, record.key,
                               record.offset, error.what());
    }
}

// Forgets the times of routes that no longer exist.
void gateway::evict_completion_times()
{
    absl::flat_hash_set<std::string_view> names;
    for (const auto& route : m_state.routes->configuration().routes)
    {
        names.insert(route.name);
    }
    absl::erase_if(m_state.completion_times, [&](const auto& entry)
                   { return !names.contains(entry.first); });
}

void gateway::apply_server_record(const platform::keyed_record& record)
{
    const upstream_id id(record.key);
    if (!record.value)
    {
        const auto* listed = m_state.servers.find(id);
        if (listed != nullptr && !listed->is_draining)
        {
            // Removed without draining: it may still serve, or have crashed.
            m_state.crashes.start_probe(*listed, crash_sign::listed);
        }
        // The version was listed until now.
        m_state.origins.observe_versions();
        if (m_state.servers.remove(id))
        {
            m_state.pool.drop(id);
            add_server_change(record, "gone");
        }
        return;
    }
    try
    {
        apply_server(platform::read_server(record.key, *record.value), record);
    }
    catch (const json_error& error)
    {
        // The record of another writer: the upstream is unusable until it
        // writes a valid record again.
        if (m_state.servers.withhold(id))
        {
            add_server_change(record, "withheld");
        }
        m_state.skipped.report(platform::server_topic, record.key,
                               record.offset, error.what());
    }
}

void gateway::apply_server(const server_entry& entry,
                           const platform::keyed_record& record)
{
    m_state.servers.versions().record_server(entry.service, entry.version,
                                             !m_state.has_servers,
                                             gateway_state::now());
    const auto* before = m_state.servers.find(entry.id);
    const bool was_active = before != nullptr && !before->is_draining;
    const auto previous_start =
        was_active ? before->started_at : entry.started_at;
    if (before != nullptr && before->version != entry.version)
    {
        m_state.origins.observe_versions();
    }
    const auto change = m_state.servers.set(entry);
    if (change == entry_change::none)
    {
        return;
    }
    m_state.origins.observe_versions();
    if (change == entry_change::restarted)
    {
        m_state.choice.reset_server(entry.id);
        m_state.pool.drop(entry.id);
        if (was_active)
        {
            m_state.crashes.handle_crash({entry.id, previous_start},
                                         crash_sign::listed);
        }
    }
    const std::string_view state = entry.is_draining ? "draining" : "ready";
    const std::string_view restart_prefix =
        change == entry_change::restarted ? "restarted," : "";
    add_server_change(record,
                      concat(restart_prefix, state, "@", entry.hall.value()));
}

void gateway::add_server_change(const platform::keyed_record& record,
                                std::string_view state)
{
    m_server_changes.add(concat(record.key, "=", state));
    m_newest_change = record.offset;
}

// Logs one line for all changes of a maintenance interval (0.5 s).
void gateway::log_server_changes()
{
    if (m_server_changes.is_empty())
    {
        return;
    }
    log(events::servers_changed,
        {{"count", std::to_string(m_server_changes.count())},
         {"servers", m_server_changes.names()},
         {"offset", std::to_string(m_newest_change.value())},
         {"origin", std::string(name_of(m_servers.newest_origin()))},
         {"role", std::string(name_of(m_state.role))}});
    m_server_changes.clear();
}

void gateway::apply_server_list(
    const std::map<std::string, platform::keyed_record>& records)
{
    absl::flat_hash_set<upstream_id> listed;
    for (const auto& [key, record] : records)
    {
        listed.emplace(key);
    }
    m_state.origins.observe_versions();
    m_state.origins.record_list(m_servers.next());
    for (const auto& id : m_state.servers.keep_only(listed))
    {
        m_state.pool.drop(id);
    }
    m_state.has_servers = true;
}

} // namespace daleshelf
