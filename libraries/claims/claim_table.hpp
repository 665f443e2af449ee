/// @file
/// The holders of idempotency keys, computed by replaying the log.
#pragma once

#include "claim.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <deque>
#include <optional>
#include <string>

namespace daleshelf
{

/// Holders of keys. The claim at the lowest offset wins and holds its key for a
/// window, unless it is released before.
class claim_table
{
public:
    /// @param window minimum time for which a key is held
    explicit claim_table(absl::Duration window);

    /// Applies a record. Records must be applied in the order of their offsets.
    /// @param data the record
    void apply(const std::string& data);

    /// @return the claim that holds the key, or nothing
    [[nodiscard]] std::optional<claim> find(const claim_key& key) const;

    /// @return time of the first claim applied, by the clock of its host
    [[nodiscard]] std::optional<absl::Time> oldest() const
    {
        return m_oldest;
    }

    /// @return latest time of all claims applied, by the clocks of their hosts
    [[nodiscard]] std::optional<absl::Time> newest() const
    {
        return m_newest;
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_holders.size();
    }

private:
    void apply(const claim& item);
    void evict_expired();

    absl::Duration m_window;
    absl::flat_hash_map<claim_key, claim> m_holders;
    std::deque<claim> m_by_age;
    std::optional<absl::Time> m_oldest;
    std::optional<absl::Time> m_newest;
};

} // namespace daleshelf
