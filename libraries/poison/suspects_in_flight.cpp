#include "suspects_in_flight.hpp"

namespace daleshelf
{

namespace
{

template <typename Key>
void take_one(absl::flat_hash_map<Key, int>& counts, const Key& key)
{
    const auto found = counts.find(key);
    if (found != counts.end() && --found->second == 0)
    {
        counts.erase(found);
    }
}

} // namespace

void suspects_in_flight::begin(const request_fingerprint& fingerprint,
                               const upstream_id& server)
{
    ++m_fingerprints[fingerprint];
    ++m_servers[server];
}

void suspects_in_flight::end(const request_fingerprint& fingerprint,
                             const upstream_id& server)
{
    take_one(m_fingerprints, fingerprint);
    take_one(m_servers, server);
}

absl::flat_hash_set<upstream_id> suspects_in_flight::servers() const
{
    absl::flat_hash_set<upstream_id> servers;
    for (const auto& [server, count] : m_servers)
    {
        servers.insert(server);
    }
    return servers;
}

} // namespace daleshelf
