#include "server_directory.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

constexpr std::size_t max_removed = 4096;

// @return position of the entry in a list that is sorted by id, or the position
// to insert it at
template <typename List>
auto find_position(List& servers, const server_entry& entry)
{
    return std::lower_bound(
        servers.begin(), servers.end(), entry.id,
        [](const hashed_server& server, const upstream_id& id)
        { return server.entry->id < id; });
}

} // namespace

entry_change server_directory::set(const server_entry& entry)
{
    const auto known = last_known(entry.id);
    const upstream_incarnation known_incarnation{
        entry.id, known ? known->started_at : upstream_birth()};
    const bool is_restart =
        entry.incarnation().is_newer_than(known_incarnation);
    if (known && !is_restart && is_outdated(entry, *known))
    {
        return entry_change::none;
    }
    const bool was_listed = m_servers.contains(entry.id);
    const bool was_usable = is_usable(entry.id);
    auto& listed = m_servers[entry.id];
    if (was_usable)
    {
        remove_from_index(listed);
    }
    m_withheld.erase(entry.id);
    if (was_listed)
    {
        count_listed(listed, -1);
    }
    listed = entry;
    count_listed(listed, 1);
    if (is_restart)
    {
        add_to_index(listed);
        return entry_change::restarted;
    }
    // Within one incarnation the highest sequence number counts, also when an
    // older record arrives late.
    listed.sequence = std::max(entry.sequence, known ? known->sequence : 0);
    // An incarnation that drains keeps draining, and its start time is kept
    // when a record lacks it.
    listed.is_draining = entry.is_draining || (known && known->was_draining);
    listed.started_at =
        std::max(entry.started_at, known_incarnation.started_at);
    add_to_index(listed);
    const bool is_same = was_listed && was_usable == is_usable(entry.id);
    return is_same ? entry_change::none : entry_change::changed;
}

bool server_directory::withhold(const upstream_id& id)
{
    const auto listed = m_servers.find(id);
    if (listed == m_servers.end())
    {
        return false;
    }
    const bool was_usable = is_usable(id);
    if (was_usable)
    {
        remove_from_index(listed->second);
    }
    m_withheld.insert(id);
    return was_usable;
}

bool server_directory::mark_draining(const upstream_incarnation& server)
{
    const auto known = last_known(server.id);
    const bool is_superseded =
        known &&
        upstream_incarnation{server.id, known->started_at}.is_newer_than(
            server);
    if (!known || is_superseded)
    {
        return false;
    }
    const bool was_usable = is_usable(server.id);
    const auto listed = m_servers.find(server.id);
    if (listed != m_servers.end())
    {
        if (was_usable)
        {
            remove_from_index(listed->second);
        }
        listed->second.is_draining = true;
        return was_usable;
    }
    // Keeps a late record from listing it again.
    m_removed.at(server.id).was_draining = true;
    return false;
}

bool server_directory::remove(const upstream_id& id)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
    {
        return false;
    }
    if (is_usable(id))
    {
        remove_from_index(found->second);
    }
    record_removal(found->second);
    count_listed(found->second, -1);
    m_servers.erase(found);
    m_withheld.erase(id);
    return true;
}

// The state in which the upstream is listed, or was when it was removed.
std::optional<server_directory::removed_server>
server_directory::last_known(const upstream_id& id) const
{
    if (const auto* listed = find(id))
    {
        return removed_server{listed->started_at, listed->is_draining,
                              listed->sequence};
    }
    const auto removed = m_removed.find(id);
    if (removed == m_removed.end())
    {
        return std::nullopt;
    }
    return removed->second;
}

// Whether the record is of an earlier incarnation, or older than the last known
// state of this one.
bool server_directory::is_outdated(const server_entry& entry,
                                   const removed_server& known) const
{
    if (upstream_incarnation{entry.id, known.started_at}.is_newer_than(
            entry.incarnation()))
    {
        return true;
    }
    const bool has_sequence = entry.sequence > 0;
    if (m_withheld.contains(entry.id))
    {
        return has_sequence && entry.sequence < known.sequence;
    }
    if (m_servers.contains(entry.id))
    {
        return false;
    }
    return known.was_draining ||
           (has_sequence && entry.sequence <= known.sequence);
}

void server_directory::record_removal(const server_entry& entry)
{
    const auto [position, is_new] = m_removed.try_emplace(entry.id);
    position->second = {entry.started_at, entry.is_draining, entry.sequence};
    if (!is_new)
    {
        return;
    }
    m_removal_order.push_back(entry.id);
    if (m_removal_order.size() > max_removed)
    {
        m_removed.erase(m_removal_order.front());
        m_removal_order.pop_front();
    }
}

std::vector<upstream_id>
server_directory::keep_only(const absl::flat_hash_set<upstream_id>& listed)
{
    std::vector<upstream_id> unlisted;
    for (const auto& [id, entry] : m_servers)
    {
        if (!listed.contains(id))
        {
            unlisted.push_back(id);
        }
    }
    for (const auto& id : unlisted)
    {
        remove(id);
    }
    return unlisted;
}

const server_entry* server_directory::find(const upstream_id& id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

bool server_directory::has_restarted(const server_entry& server) const
{
    const auto* listed = find(server.id);
    return listed != nullptr &&
           (listed->version != server.version ||
            listed->incarnation().is_newer_than(server.incarnation()));
}

bool server_directory::is_usable(const upstream_id& id) const
{
    const auto* entry = find(id);
    return entry != nullptr && !entry->is_draining && !m_withheld.contains(id);
}

std::map<service_name, std::set<version_name>>
server_directory::listed_versions() const
{
    std::map<service_name, std::set<version_name>> listed;
    for (const auto& [service, counts] : m_listed_counts)
    {
        for (const auto& [version, count] : counts)
        {
            listed[service].insert(version);
        }
    }
    return listed;
}

void server_directory::count_listed(const server_entry& entry, int change)
{
    auto& counts = m_listed_counts[entry.service];
    auto& count = counts[entry.version];
    count += change;
    if (count == 0)
    {
        counts.erase(entry.version);
    }
}

// Adds the entry to the index if it is usable.
void server_directory::add_to_index(const server_entry& entry)
{
    if (!is_usable(entry.id))
    {
        return;
    }
    auto& servers = m_index[entry.service][entry.version];
    const auto& id = entry.id.value();
    servers.insert(find_position(servers, entry),
                   {XXH3_64bits(id.data(), id.size()), &entry});
}

// Removes an entry that is in the index.
void server_directory::remove_from_index(const server_entry& entry)
{
    const auto versions = m_index.find(entry.service);
    const auto servers = versions->second.find(entry.version);
    servers->second.erase(find_position(servers->second, entry));
    if (!servers->second.empty())
    {
        return;
    }
    versions->second.erase(servers);
    if (versions->second.empty())
    {
        m_index.erase(versions);
    }
}

std::vector<hashed_server>
server_directory::usable(const service_name& service) const
{
    std::vector<hashed_server> result;
    const auto versions = m_index.find(service);
    if (versions == m_index.end())
    {
        return result;
    }
    for (const auto& [version, servers] : versions->second)
    {
        if (m_versions.allows(service, version))
        {
            result.insert(result.end(), servers.begin(), servers.end());
        }
    }
    return result;
}

std::size_t server_directory::usable_count(const service_name& service) const
{
    const auto versions = m_index.find(service);
    if (versions == m_index.end())
    {
        return 0;
    }
    std::size_t count = 0;
    for (const auto& [version, servers] : versions->second)
    {
        count += m_versions.allows(service, version) ? servers.size() : 0;
    }
    return count;
}

std::vector<hashed_server>
server_directory::canary_servers(const service_name& service,
                                 const version_name& version,
                                 double share) const
{
    const auto servers = usable_of_version(service, version);
    const auto part = std::ceil(static_cast<double>(servers.size()) * share);
    const auto size = std::min(servers.size(), static_cast<std::size_t>(part));
    return {servers.begin(),
            std::next(servers.begin(), static_cast<std::ptrdiff_t>(size))};
}

std::vector<hashed_server>
server_directory::resumption_servers(const service_name& service,
                                     const version_name& version) const
{
    return m_versions.allows_resumption(service, version)
               ? usable_of_version(service, version)
               : std::vector<hashed_server>();
}

// Does not consult the version gate.
std::vector<hashed_server>
server_directory::usable_of_version(const service_name& service,
                                    const version_name& version) const
{
    const auto versions = m_index.find(service);
    if (versions == m_index.end())
    {
        return {};
    }
    const auto found = versions->second.find(version);
    return found == versions->second.end() ? std::vector<hashed_server>()
                                           : found->second;
}

} // namespace daleshelf
