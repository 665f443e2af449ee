#include "server_directory.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

constexpr std::size_t most_departed = 4096;

} // namespace

entry_change server_directory::set(const server_entry& entry)
{
    const auto known = last_known(entry.id);
    const upstream_life known_life{entry.id,
                                   known ? known->born : upstream_birth()};
    const bool is_new_life = entry.life().is_after(known_life);
    if (known && !is_new_life && is_outdated(entry, *known))
    {
        return entry_change::none;
    }
    const bool was_listed = m_servers.contains(entry.id);
    const bool was_usable = is_usable(entry.id);
    m_withheld.erase(entry.id);
    auto& listed = m_servers[entry.id];
    listed = entry;
    if (is_new_life)
    {
        return entry_change::new_life;
    }
    // A late record says less than one before it of the same life.
    listed.sequence = std::max(entry.sequence, known ? known->sequence : 0);
    // A life that has said that it leaves stays so, and keeps its birth when a
    // record of it does not tell that.
    listed.is_draining = entry.is_draining || (known && known->was_leaving);
    listed.born = std::max(entry.born, known_life.born);
    const bool is_same = was_listed && was_usable == is_usable(entry.id);
    return is_same ? entry_change::none : entry_change::changed;
}

bool server_directory::withhold(const upstream_id& id)
{
    const bool was_usable = is_usable(id);
    if (m_servers.contains(id))
    {
        m_withheld.insert(id);
    }
    return was_usable;
}

bool server_directory::note_leaving(const upstream_life& server)
{
    const auto known = last_known(server.id);
    const bool is_over =
        known && upstream_life{server.id, known->born}.is_after(server);
    if (!known || is_over)
    {
        return false;
    }
    const bool was_usable = is_usable(server.id);
    const auto listed = m_servers.find(server.id);
    if (listed != m_servers.end())
    {
        listed->second.is_draining = true;
        return was_usable;
    }
    // A record of it that comes late lists it no more.
    m_departed.at(server.id).was_leaving = true;
    return false;
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
    m_withheld.erase(id);
    return true;
}

// What the list has, or had, of the server.
std::optional<server_directory::departure>
server_directory::last_known(const upstream_id& id) const
{
    if (const auto* listed = find(id))
    {
        return departure{listed->born, listed->is_draining, listed->sequence};
    }
    const auto departed = m_departed.find(id);
    if (departed == m_departed.end())
    {
        return std::nullopt;
    }
    return departed->second;
}

// Whether the record is of an earlier life, or of a time of this one before it
// was last known.
bool server_directory::is_outdated(const server_entry& entry,
                                   const departure& known) const
{
    if (upstream_life{entry.id, known.born}.is_after(entry.life()))
    {
        return true;
    }
    const bool has_number = entry.sequence > 0;
    if (m_withheld.contains(entry.id))
    {
        return has_number && entry.sequence < known.sequence;
    }
    if (m_servers.contains(entry.id))
    {
        return false;
    }
    return known.was_leaving ||
           (has_number && entry.sequence <= known.sequence);
}

void server_directory::remember(const server_entry& entry)
{
    const auto [place, is_new] = m_departed.try_emplace(entry.id);
    place->second = {entry.born, entry.is_draining, entry.sequence};
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

const server_entry* server_directory::find(const upstream_id& id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

bool server_directory::is_usable(const upstream_id& id) const
{
    const auto* entry = find(id);
    return entry != nullptr && !entry->is_draining && !m_withheld.contains(id);
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
