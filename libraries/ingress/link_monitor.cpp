#include "link_monitor.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

absl::Time
earliest(const absl::flat_hash_map<upstream_id, absl::Time>& failures)
{
    auto first = absl::InfiniteFuture();
    for (const auto& [server, failed_at] : failures)
    {
        first = std::min(first, failed_at);
    }
    return first;
}

} // namespace

link_monitor::link_monitor(const link_monitor_options& options)
    : m_options(options)
{
}

upstream_path link_monitor::path_to(const service_name& service) const
{
    const auto found = m_services.find(service);
    if (found != m_services.end() && found->second.is_unreachable)
    {
        return upstream_path::none;
    }
    return is_relayed(service) ? upstream_path::relayed : upstream_path::direct;
}

bool link_monitor::is_relayed(const service_name& service) const
{
    const auto found = m_services.find(service);
    return m_is_partitioned ||
           (found != m_services.end() && found->second.is_relayed);
}

bool link_monitor::should_ask_peer(const service_name& service,
                                   absl::Time now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && now >= found->second.next_relay &&
           is_suspect(found->second, now);
}

void link_monitor::record_connected(const service_name& service, absl::Time now)
{
    m_connected_at = now;
    auto& links = m_services[service];
    links.failures.clear();
    links.is_unreachable = false;
}

void link_monitor::record_failed(const service_name& service,
                                 const upstream_id& server,
                                 std::size_t usable_count, absl::Time now)
{
    auto& links = m_services[service];
    links.usable_count = usable_count;
    if (!links.is_relayed)
    {
        absl::erase_if(
            links.failures, [&](const auto& failure)
            { return now - failure.second > m_options.failure_window; });
    }
    links.failures.try_emplace(server, now);
}

void link_monitor::record_response(const service_name& service, absl::Time now)
{
    auto& links = m_services[service];
    links.responded_at = now;
    links.is_unreachable = false;
    links.relay_failures.clear();
}

bool link_monitor::record_relayed(const service_name& service, absl::Time now)
{
    auto& links = m_services[service];
    links.is_unreachable = false;
    links.responded_at = now;
    links.relay_failures.clear();
    links.relay_delay = absl::ZeroDuration();
    links.next_relay = now;
    if (links.is_relayed || links.failures.empty())
    {
        return false;
    }
    links.is_relayed = true;
    links.is_total = m_connected_at < earliest(links.failures);
    links.probes = 0;
    update_partitioned();
    return true;
}

void link_monitor::record_relay_failed(const service_name& service,
                                       const upstream_id& server,
                                       std::size_t usable_count, absl::Time now)
{
    auto& links = m_services[service];
    if (!is_relayed(service))
    {
        delay_relays(links, now);
        mark_unreachable(links, earliest(links.failures));
        return;
    }
    links.relay_failures.try_emplace(server, now);
    if (links.relay_failures.size() >=
        std::min(m_options.min_failures, usable_count))
    {
        mark_unreachable(links, earliest(links.relay_failures));
    }
}

void link_monitor::record_no_relay(const service_name& service, absl::Time now)
{
    auto& links = m_services[service];
    const auto first = earliest(links.failures);
    delay_relays(links, now);
    mark_unreachable(links, std::min(first, now - m_options.response_memory));
}

bool link_monitor::record_probe(const service_name& service, bool is_connected,
                                absl::Time now)
{
    auto& links = m_services[service];
    links.probes = is_connected ? links.probes + 1 : 0;
    const auto needed = links.is_relayed ? m_options.min_probes : 1;
    if (links.probes < needed)
    {
        return false;
    }
    links.probes = 0;
    links.is_relayed = false;
    links.is_total = false;
    record_connected(service, now);
    update_partitioned();
    return true;
}

std::vector<service_name> link_monitor::impaired_services() const
{
    std::vector<service_name> services;
    for (const auto& [service, links] : m_services)
    {
        if (links.is_relayed || links.is_unreachable)
        {
            services.push_back(service);
        }
    }
    return services;
}

bool link_monitor::should_probe_peers(const service_name& service,
                                      absl::Time now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.is_unreachable &&
           now >= found->second.next_relay;
}

absl::Time link_monitor::failing_since(const service_name& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? absl::InfiniteFuture()
                                     : earliest(found->second.failures);
}

bool link_monitor::is_suspect(const service_links& links, absl::Time now) const
{
    std::size_t count = 0;
    for (const auto& [server, failed_at] : links.failures)
    {
        count += now - failed_at <= m_options.failure_window ? 1 : 0;
    }
    return count > 0 &&
           count >= std::min(m_options.min_failures, links.usable_count);
}

void link_monitor::delay_relays(service_links& links, absl::Time now) const
{
    links.relay_delay =
        std::clamp(links.relay_delay * 2, m_options.min_relay_delay,
                   m_options.max_relay_delay);
    links.next_relay = now + links.relay_delay;
}

// A service that responds on existing connections is reachable, although some
// of its upstreams cannot be connected.
void link_monitor::mark_unreachable(service_links& links,
                                    absl::Time failing_since)
{
    links.is_unreachable = links.responded_at < failing_since;
}

void link_monitor::update_partitioned()
{
    m_is_partitioned =
        std::any_of(m_services.begin(), m_services.end(),
                    [](const auto& item) { return item.second.is_total; });
}

} // namespace daleshelf
