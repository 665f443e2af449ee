#include "relay_tree.hpp"

#include <xxhash.h>

#include <algorithm>

namespace daleshelf
{

namespace
{

/// A host's place in the order of a tree.
struct ranked_host
{
    std::uint64_t rank = 0;
    const host_id* host = nullptr;

    [[nodiscard]] bool operator<(const ranked_host& other) const
    {
        return rank < other.rank;
    }
};

std::uint64_t hash_of(const host_id& host, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(host.value().data(), host.value().size(), seed);
}

} // namespace

std::vector<host_id> relay_children(const host_id& root, const host_id& self,
                                    const std::vector<host_id>& others,
                                    std::size_t fanout)
{
    // 1. The root is first, the others follow in the order of their hashes.
    const auto seed = hash_of(root, 0);
    const auto own_rank = hash_of(self, seed);
    std::vector<ranked_host> later;
    std::size_t position = self == root ? 0 : 1;
    for (const auto& host : others)
    {
        if (host == root || host == self)
        {
            continue;
        }
        const auto rank = hash_of(host, seed);
        if (self == root || own_rank < rank)
        {
            later.push_back({rank, &host});
            continue;
        }
        ++position;
    }
    // 2. The host at position p forwards to those at p * fanout + 1 and on.
    const auto first = position * fanout - position;
    if (first >= later.size())
    {
        return {};
    }
    const auto last = std::min(later.size(), first + fanout);
    const auto at = [&](std::size_t index)
    { return later.begin() + static_cast<std::ptrdiff_t>(index); };
    std::nth_element(later.begin(), at(first), later.end());
    std::partial_sort(at(first), at(last), later.end());
    std::vector<host_id> children;
    for (auto child = at(first); child != at(last); ++child)
    {
        children.push_back(*child->host);
    }
    return children;
}

bool relay_filter::accept(const relay_source& source, log_offset from)
{
    const auto [newest, is_new] = m_newest.try_emplace(source, from);
    if (!is_new && from <= newest->second)
    {
        return false;
    }
    newest->second = from;
    return true;
}

} // namespace daleshelf
