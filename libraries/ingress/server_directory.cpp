#include "server_directory.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

constexpr std::size_t most_departed = 4096;

} // namespace

bool server_directory::set(const server_entry& entry)
{
    if (is_outdated(entry))
    {
        return false;
    }
    auto [place, is_new] = m_servers.try_emplace(entry.id, entry);
    const bool was_draining = !is_new && place->second.is_draining;
    place->second = entry;
    // A server that has said that it leaves does not come back: an older
    // record of it may still arrive.
    place->second.is_draining = entry.is_draining || was_draining;
    return is_new || was_draining != place->second.is_draining;
}

bool server_directory::remove(const upstream_id& id)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
    {
        return false;
    }
    remember(found->second);
    m_servers.erase(found);
    m_leaving.erase(id);
    return true;
}

bool server_directory::is_outdated(const server_entry& entry) const
{
    const auto departed = m_departed.find(entry.id);
    if (departed == m_departed.end() || m_servers.contains(entry.id))
    {
        return false;
    }
    const auto& last = departed->second;
    return last.was_leaving ||
           (entry.sequence > 0 && entry.sequence <= last.sequence);
}

void server_directory::remember(const server_entry& entry)
{
    const bool was_leaving = entry.is_draining || m_leaving.contains(entry.id);
    const auto [place, is_new] = m_departed.try_emplace(entry.id);
    place->second = {was_leaving, entry.sequence};
    if (!is_new)
    {
        return;
    }
    m_departed_order.push_back(entry.id);
    if (m_departed_order.size() > most_departed)
    {
        m_departed.erase(m_departed_order.front());
        m_departed_order.pop_front();
    }
}

std::vector<upstream_id>
server_directory::keep_only(const absl::flat_hash_set<upstream_id>& listed)
{
    std::vector<upstream_id> gone;
    for (const auto& [id, entry] : m_servers)
    {
        if (!listed.contains(id))
        {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone)
    {
        remove(id);
    }
    return gone;
}

bool server_directory::mark_leaving(const upstream_id& id)
{
    if (m_servers.find(id) == m_servers.end())
    {
        return false;
    }
    return m_leaving.try_emplace(id, true).second;
}

std::vector<upstream_id> server_directory::leaving() const
{
    std::vector<upstream_id> ids;
    for (const auto& [id, is_leaving] : m_leaving)
    {
        ids.push_back(id);
    }
    return ids;
}

const server_entry* server_directory::find(const upstream_id& id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

bool server_directory::is_usable(const upstream_id& id) const
{
    const auto* entry = find(id);
    return entry != nullptr && !entry->is_draining && !m_leaving.contains(id);
}

template <typename Wanted>
std::vector<const server_entry*>
server_directory::sorted_servers(Wanted is_wanted) const
{
    std::vector<const server_entry*> result;
    for (const auto& [id, entry] : m_servers)
    {
        if (is_usable(id) && is_wanted(entry))
        {
            result.push_back(&entry);
        }
    }
    std::sort(result.begin(), result.end(),
              [](const auto* left, const auto* right)
              { return left->id < right->id; });
    return result;
}

std::vector<const server_entry*>
server_directory::usable(const service_name& service) const
{
    return sorted_servers(
        [&](const server_entry& entry)
        {
            return entry.service == service &&
                   m_versions.allows(service, entry.version);
        });
}

std::vector<const server_entry*>
server_directory::trial_servers(const service_name& service,
                                const version_name& version, double share) const
{
    auto servers = sorted_servers(
        [&](const server_entry& entry)
        { return entry.service == service && entry.version == version; });
    const auto part = std::ceil(static_cast<double>(servers.size()) * share);
    servers.resize(std::min(servers.size(), static_cast<std::size_t>(part)));
    return servers;
}

std::vector<const server_entry*> server_directory::all() const
{
    std::vector<const server_entry*> result;
    for (const auto& [id, entry] : m_servers)
    {
        result.push_back(&entry);
    }
    return result;
}

} // namespace daleshelf
