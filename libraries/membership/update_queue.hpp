/// @file
/// What has changed and has not yet been passed on often enough.
#pragma once

#include <base/identifiers.hpp>
#include <cstddef>
#include <map>
#include <vector>

namespace daleshelf
{

/// Picks the least often sent news first, a bounded number at a time, so that
/// a message's size does not depend on the size of the fleet.
/// @tparam Key what the news is about
template <typename Key>
class update_queue
{
public:
    /// News about `key`: sent afresh, whatever was sent before.
    void add(const Key& key)
    {
        m_sent[key] = 0;
    }

    /// @param most number of keys at the most
    /// @param transmissions after so many a key is dropped
    /// @return keys to send now; they count as sent
    std::vector<Key> take(std::size_t most, int transmissions)
    {
        std::multimap<int, Key> by_sent;
        for (const auto& [key, sent] : m_sent)
        {
            by_sent.emplace(sent, key);
        }
        std::vector<Key> taken;
        for (const auto& [sent, key] : by_sent)
        {
            if (taken.size() >= most)
            {
                break;
            }
            taken.push_back(key);
            if (++m_sent[key] >= transmissions)
            {
                m_sent.erase(key);
            }
        }
        return taken;
    }

private:
    std::map<Key, int> m_sent;
};

} // namespace daleshelf
