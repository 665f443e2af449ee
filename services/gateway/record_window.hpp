/// @file
/// The newest records of a topic, kept for peers that lack them.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <platform/store_calls.hpp>
#include <vector>

namespace daleshelf
{

/// The newest consecutive records of a topic, bounded in number and in bytes:
/// the oldest ones are dropped first. A record can be a whole configuration.
class record_window
{
public:
    /// @param max_records maximum number of records
    /// @param max_bytes maximum size of their keys and values
    record_window(std::size_t max_records, std::size_t max_bytes)
        : m_max_records(max_records), m_max_bytes(max_bytes)
    {
    }

    /// Adds the record that follows the newest one.
    void push(const platform::keyed_record& record);

    /// Drops all records.
    void clear();

    /// @param count number of records
    /// @return that many of the newest records, oldest first; nothing if fewer
    /// are kept
    [[nodiscard]] std::optional<std::vector<platform::keyed_record>>
    newest(std::size_t count) const;

    /// @return size of all keys and values, in bytes
    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::size_t m_max_records;
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    std::deque<platform::keyed_record> m_records; ///< oldest first
};

} // namespace daleshelf
