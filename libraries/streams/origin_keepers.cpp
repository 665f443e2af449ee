#include "origin_keepers.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace daleshelf
{

namespace
{

/// A name with its rendezvous weight for an attempt.
template <class Name>
struct weighted
{
    std::uint64_t weight = 0;
    Name name;
};

std::uint64_t weight_of(const std::string& name, std::uint64_t key)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

// @return the names with the highest weights, highest first
template <class Name>
std::vector<Name> highest(std::vector<weighted<Name>> names, std::size_t count)
{
    const auto size = std::min(count, names.size());
    std::partial_sort(
        names.begin(),
        std::next(names.begin(), static_cast<std::ptrdiff_t>(size)),
        names.end(),
        [](const auto& left, const auto& right)
        { return left.weight > right.weight; });
    std::vector<Name> result;
    for (std::size_t index = 0; index < size; ++index)
    {
        result.push_back(std::move(names[index].name));
    }
    return result;
}

} // namespace

std::vector<host_id>
origin_keepers(const request_id& attempt, const hall_id& own_hall,
               const std::vector<keeper_candidate>& candidates,
               const keeper_counts& counts)
{
    const auto key =
        XXH3_64bits(attempt.value().data(), attempt.value().size());
    std::map<hall_id, std::vector<weighted<host_id>>> hosts_by_hall;
    for (const auto& candidate : candidates)
    {
        hosts_by_hall[candidate.hall].push_back(
            {weight_of(candidate.host.value(), key), candidate.host});
    }
    std::vector<weighted<hall_id>> halls;
    halls.reserve(hosts_by_hall.size());
    for (const auto& [hall, hosts] : hosts_by_hall)
    {
        halls.push_back({weight_of(hall.value(), key), hall});
    }
    std::vector<host_id> keepers;
    for (const auto& hall : highest(std::move(halls), counts.halls))
    {
        keepers.push_back(highest(hosts_by_hall[hall], 1).front());
    }
    for (const auto& host :
         highest(hosts_by_hall[own_hall], counts.per_own_hall))
    {
        if (std::find(keepers.begin(), keepers.end(), host) == keepers.end())
        {
            keepers.push_back(host);
        }
    }
    return keepers;
}

} // namespace daleshelf
