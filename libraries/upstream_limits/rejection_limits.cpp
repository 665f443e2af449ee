#include "rejection_limits.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Longer than an upstream takes to restart, so that the knowledge outlives a
// crash of all upstreams of a service.
constexpr absl::Duration mark_lifetime = absl::Seconds(15);
// Time in which the fleet learns of a limit, and keepers of the requests that
// are in flight. The platform tolerates rejections for 4 s.
constexpr absl::Duration introduction_time = absl::Seconds(1);

} // namespace

bool rejection_limits::record_response(const upstream_response& response,
                                       absl::Time now, absl::Time time_of_day)
{
    const bool contradicts_presumption =
        !response.per_second && find_current(response.server) == nullptr &&
        find_mark(response.service, now) != nullptr;
    if (contradicts_presumption)
    {
        return m_limits.merge({response.server, std::nullopt, time_of_day},
                              now);
    }
    const bool has_changed = m_limits.record_response(
        {response.server, response.per_second, response.sent_at}, now,
        time_of_day);
    const auto* known = find_current(response.server);
    if (response.per_second && known != nullptr)
    {
        mark_service(response.service, *response.per_second,
                     known->advertised_at, now);
    }
    return has_changed;
}

void rejection_limits::mark_service(const service_name& service,
                                    double per_second, absl::Time advertised_at,
                                    absl::Time now)
{
    const auto* known = find_mark(service, now);
    service_mark mark{per_second, advertised_at, now};
    if (known != nullptr)
    {
        mark.per_second = std::min(mark.per_second, known->per_second);
        mark.advertised_at = std::min(mark.advertised_at, known->advertised_at);
    }
    m_services[service] = mark;
}

std::optional<double>
rejection_limits::limit_of(const upstream_incarnation& server,
                           const service_name& service, absl::Time now) const
{
    if (const auto* known = find_current(server))
    {
        return known->per_second;
    }
    const auto* mark = find_mark(service, now);
    return mark == nullptr ? std::nullopt : std::optional(mark->per_second);
}

bool rejection_limits::is_introduced(const service_name& service,
                                     absl::Time now,
                                     absl::Time time_of_day) const
{
    const auto* mark = find_mark(service, now);
    return mark != nullptr &&
           time_of_day - mark->advertised_at >= introduction_time;
}

const rejection_limits::service_mark*
rejection_limits::find_mark(const service_name& service, absl::Time now) const
{
    const auto mark = m_services.find(service);
    const bool is_marked = mark != m_services.end() &&
                           now - mark->second.marked_at < mark_lifetime;
    return is_marked ? &mark->second : nullptr;
}

std::vector<service_name>
rejection_limits::marked_services(absl::Time now) const
{
    std::vector<service_name> services;
    for (const auto& [service, mark] : m_services)
    {
        if (find_mark(service, now) != nullptr)
        {
            services.push_back(service);
        }
    }
    return services;
}

const limit_record*
rejection_limits::find_current(const upstream_incarnation& server) const
{
    const auto* known = m_limits.find(server.id);
    const bool is_current =
        known != nullptr && !server.is_newer_than(known->server);
    return is_current ? known : nullptr;
}

} // namespace daleshelf
