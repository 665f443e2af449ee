#include "rendezvous_ranking.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace daleshelf
{

namespace
{

/// An upstream with its rendezvous weight for a key.
struct weighted_server
{
    std::uint64_t weight = 0;
    hashed_server server;
};

std::uint64_t rendezvous_weight(const hashed_server& server, std::uint64_t key)
{
    return XXH3_64bits_withSeed(&server.id_hash, sizeof(server.id_hash), key);
}

} // namespace

std::uint64_t rendezvous_key(const std::vector<prompt_part>& prompt)
{
    const auto& id =
        prompt.size() > 1 ? prompt[prompt.size() - 2].id : prompt.back().id;
    return XXH3_64bits(id.data(), id.size());
}

const server_entry* highest_ranked(const std::vector<hashed_server>& servers,
                                   std::uint64_t key)
{
    const server_entry* highest = nullptr;
    std::uint64_t best = 0;
    for (const auto& server : servers)
    {
        const auto weight = rendezvous_weight(server, key);
        if (highest == nullptr || weight > best)
        {
            highest = server.entry;
            best = weight;
        }
    }
    return highest;
}

std::vector<hashed_server> highest_ranked(std::vector<hashed_server> servers,
                                          std::uint64_t key, std::size_t count)
{
    if (servers.size() <= count)
    {
        return servers;
    }
    std::vector<weighted_server> ranked;
    ranked.reserve(servers.size());
    for (const auto& server : servers)
    {
        ranked.push_back({rendezvous_weight(server, key), server});
    }
    const auto limit =
        std::next(ranked.begin(), static_cast<std::ptrdiff_t>(count));
    std::nth_element(ranked.begin(), limit, ranked.end(),
                     [](const auto& left, const auto& right)
                     { return left.weight > right.weight; });
    servers.clear();
    std::transform(ranked.begin(), limit, std::back_inserter(servers),
                   [](const auto& ranked_server)
                   { return ranked_server.server; });
    return servers;
}

} // namespace daleshelf
