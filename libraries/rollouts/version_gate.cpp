#include "version_gate.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Upstreams that stop without notice remain listed for three heartbeats: 3.6 s
// at an interval of 1.2 s. One that is still listed after this time has been
// started since.
constexpr absl::Duration stale_listing_time = absl::Seconds(10);

} // namespace

void version_gate::record_server(const service_name& service,
                                 const version_name& version,
                                 bool is_first_list, absl::Time now)
{
    auto& listed = m_versions[service];
    const bool is_only_version = listed.empty();
    const auto [at, is_new] = listed.try_emplace(version);
    if (!is_new)
    {
        auto& replaced_at = at->second.replaced_at;
        if (now - replaced_at > stale_listing_time)
        {
            replaced_at = absl::InfiniteFuture();
        }
        return;
    }
    at->second = {now,
                  is_first_list || is_only_version || now < m_orders_known_at};
}

void version_gate::set_orders_known_at(absl::Time as_of)
{
    if (as_of <= m_orders_known_at)
    {
        return;
    }
    m_orders_known_at = as_of;
    for (auto& [service, listed] : m_versions)
    {
        for (auto& [version, known] : listed)
        {
            known.is_admitted =
                known.is_admitted || known.first_listed_at < as_of;
        }
    }
}

bool version_gate::set_order(const rollout_order& order)
{
    const auto [at, is_new] = m_orders.try_emplace(order.service);
    if (!is_new && order.offset <= at->second.order.offset)
    {
        return false;
    }
    at->second = {order, rollout_phase::running};
    return true;
}

bool version_gate::remove_order(const service_name& service)
{
    return m_orders.erase(service) > 0;
}

bool version_gate::set_phase(const service_name& service, log_offset order,
                             rollout_phase phase, absl::Time now)
{
    const auto at = m_orders.find(service);
    if (at == m_orders.end() || at->second.order.offset != order)
    {
        return false;
    }
    auto& known = at->second.phase;
    if (known != rollout_phase::running || known == phase)
    {
        return false;
    }
    known = phase;
    if (phase != rollout_phase::completed)
    {
        return true;
    }
    for (auto& [version, listed] : m_versions[service])
    {
        if (version != at->second.order.target)
        {
            listed.replaced_at = now;
        }
    }
    return true;
}

bool version_gate::allows(const service_name& service,
                          const version_name& version) const
{
    // 1. The only version that a service has had is always allowed.
    const auto listed = m_versions.find(service);
    if (listed == m_versions.end() || listed->second.size() <= 1)
    {
        return true;
    }
    // 2. The target of an order is allowed once the order is completed.
    const auto order = m_orders.find(service);
    if (order != m_orders.end() && order->second.order.target == version)
    {
        return order->second.phase == rollout_phase::completed;
    }
    // 3. Any other version is allowed once no unread order can have started it,
    // and while it is not replaced.
    const auto known = listed->second.find(version);
    if (known == listed->second.end())
    {
        return true;
    }
    return known->second.is_admitted &&
           known->second.replaced_at == absl::InfiniteFuture();
}

bool version_gate::allows_resumption(const service_name& service,
                                     const version_name& version) const
{
    const auto order = m_orders.find(service);
    const bool is_running_target =
        order != m_orders.end() && order->second.order.target == version &&
        order->second.phase == rollout_phase::running;
    return is_running_target || allows(service, version);
}

const rollout_order* version_gate::order_of(const service_name& service) const
{
    const auto at = m_orders.find(service);
    return at == m_orders.end() ? nullptr : &at->second.order;
}

std::vector<service_name> version_gate::services_with_orders() const
{
    std::vector<service_name> services;
    for (const auto& [service, known] : m_orders)
    {
        services.push_back(service);
    }
    return services;
}

std::optional<rollout_phase>
version_gate::phase_of(const service_name& service) const
{
    const auto at = m_orders.find(service);
    if (at == m_orders.end())
    {
        return std::nullopt;
    }
    return at->second.phase;
}

} // namespace daleshelf
