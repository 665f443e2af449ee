/// @file
/// Queue of updates to disseminate by gossip.
#pragma once

#include <base/identifiers.hpp>
#include <cstddef>
#include <map>
#include <vector>

namespace daleshelf
{

/// Returns the least often sent updates first, a bounded number at a time, so
/// that the size of a message does not depend on the size of the fleet.
/// @tparam Key identifies the subject of an update
template <typename Key>
class update_queue
{
public:
    /// Adds an update about `key`, or restarts its transmissions.
    void add(const Key& key)
    {
        m_transmissions[key] = 0;
    }

    /// Takes the keys to send next and counts one transmission of each.
    /// @param limit maximum number of keys
    /// @param max_transmissions number of transmissions after which a key is
    ///        removed
    /// @return keys to send now
    std::vector<Key> take(std::size_t limit, int max_transmissions)
    {
        std::multimap<int, Key> by_sent;
        for (const auto& [key, sent] : m_transmissions)
        {
            by_sent.emplace(sent, key);
        }
        std::vector<Key> taken;
        for (const auto& [sent, key] : by_sent)
        {
            if (taken.size() >= limit)
            {
                break;
            }
            taken.push_back(key);
            if (++m_transmissions[key] >= max_transmissions)
            {
                m_transmissions.erase(key);
            }
        }
        return taken;
    }

private:
    std::map<Key, int> m_transmissions;
};

} // namespace daleshelf
