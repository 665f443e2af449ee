#include "version_history.hpp"

#include "stream_origin.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// A version that comes and goes within this time begins no stream.
constexpr absl::Duration max_observation_gap = absl::Seconds(2);

} // namespace

void version_history::observe(const service_name& service,
                              const std::set<version_name>& listed,
                              absl::Time now)
{
    const auto since = m_is_first_start ? absl::InfinitePast() : now;
    auto& history =
        m_services.try_emplace(service, service_history{since, now, {}})
            .first->second;
    if (now - history.observed_at > max_observation_gap)
    {
        history.observed_since = now;
    }
    history.observed_at = now;
    for (const auto& version : listed)
    {
        history.last_listed[version] = now;
    }
    std::erase_if(history.last_listed, [now](const auto& known)
                  { return known.second < now - max_resumable_time; });
}

void version_history::restart(absl::Time now)
{
    m_is_first_start = false;
    for (auto& [service, history] : m_services)
    {
        history.observed_since = now;
    }
}

std::optional<version_name>
version_history::sole_version(const service_name& service, absl::Duration span,
                              absl::Time now) const
{
    const auto history = m_services.find(service);
    if (history == m_services.end())
    {
        return std::nullopt;
    }
    const auto& known = history->second;
    if (now - known.observed_at > max_observation_gap ||
        known.observed_since > now - span)
    {
        return std::nullopt;
    }
    std::optional<version_name> only;
    for (const auto& [version, listed_at] : known.last_listed)
    {
        if (listed_at < now - span)
        {
            continue;
        }
        if (only)
        {
            return std::nullopt;
        }
        only = version;
    }
    return only;
}

bool version_history::has_several() const
{
    return std::any_of(m_services.begin(), m_services.end(),
                       [](const auto& known)
                       { return known.second.last_listed.size() > 1; });
}

bool version_history::has_other(const service_name& service,
                                const version_name& version,
                                absl::Duration span, absl::Time now) const
{
    const auto history = m_services.find(service);
    return history != m_services.end() &&
           std::any_of(history->second.last_listed.begin(),
                       history->second.last_listed.end(),
                       [&](const auto& known) {
                           return known.first != version &&
                                  known.second >= now - span;
                       });
}

} // namespace daleshelf
