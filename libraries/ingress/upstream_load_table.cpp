#include "upstream_load_table.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

server_load find_load(const server_loads& loads, const upstream_id& server)
{
    const auto found = loads.find(server);
    return found == loads.end() ? server_load{} : found->second;
}

// Gossiped counts come from the network: a negative one would hide the load of
// other hosts, and sums of 1,024 peers must fit into 64 bits.
std::int64_t limit_count(std::int64_t value)
{
    return std::clamp<std::int64_t>(value, 0, std::int64_t{1} << 40);
}

} // namespace

server_load upstream_load_table::own_load(const upstream_id& server) const
{
    return find_load(m_own, server);
}

server_load upstream_load_table::others_load(const upstream_id& server) const
{
    const auto shared = m_shared.find(server);
    return shared != m_shared.end() ? shared->second
                                    : find_load(m_peer_sums, server);
}

void upstream_load_table::set_peer_loads(const host_id& peer,
                                         server_loads loads)
{
    for (auto& [server, load] : loads)
    {
        load = {limit_count(load.active), limit_count(load.unread_tokens),
                limit_count(load.memory_tokens)};
    }
    auto& known = m_by_peer[peer];
    add_to_sums(known, -1);
    known = std::move(loads);
    add_to_sums(known, 1);
}

void upstream_load_table::drop_peer(const host_id& peer)
{
    const auto known = m_by_peer.find(peer);
    if (known != m_by_peer.end())
    {
        add_to_sums(known->second, -1);
        m_by_peer.erase(known);
    }
}

void upstream_load_table::set_shared_loads(server_loads loads,
                                           absl::Time expires_at)
{
    m_shared = std::move(loads);
    m_shared_until = expires_at;
}

void upstream_load_table::run_maintenance(absl::Time now)
{
    if (now >= m_shared_until)
    {
        m_shared.clear();
        m_shared_until = absl::InfinitePast();
    }
}

void upstream_load_table::reset(const upstream_id& server)
{
    m_own.erase(server);
}

// Maintains the sums over all peers, since there are many peers and each
// selection needs the sum for every candidate.
void upstream_load_table::add_to_sums(const server_loads& loads, int sign)
{
    for (const auto& [server, load] : loads)
    {
        auto& sum = m_peer_sums[server];
        if (sign > 0)
        {
            sum += load;
        }
        else
        {
            sum -= load;
        }
        if (sum == server_load{})
        {
            m_peer_sums.erase(server);
        }
    }
}

} // namespace daleshelf
