/// @file
/// Who has which idempotency key, settled by replay of the log.
#pragma once

#include "claim.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <deque>
#include <optional>
#include <string>

namespace daleshelf
{

/// The claim at the lowest offset wins and holds the key for a window.
class claim_table
{
public:
    /// @param window how long a key is held at the least
    explicit claim_table(absl::Duration window);

    /// Applies a record; records come in the order of their offsets.
    /// @param data the record
    void apply(const std::string& data);

    /// @return the claim that holds the key, or nothing
    [[nodiscard]] std::optional<claim> find(const claim_key& key) const;

    /// @return when the oldest record that was applied was written
    [[nodiscard]] std::optional<absl::Time> oldest() const
    {
        return m_oldest;
    }

    /// @return when the newest record that was applied was written
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
    void forget_old();

    absl::Duration m_window;
    absl::flat_hash_map<claim_key, claim> m_holders;
    std::deque<claim> m_by_age;
    std::optional<absl::Time> m_oldest;
    std::optional<absl::Time> m_newest;
};

} // namespace daleshelf
