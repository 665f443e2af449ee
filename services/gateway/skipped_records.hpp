/// @file
/// Log of the store's records that cannot be read.
#pragma once

#include <base/identifiers.hpp>
#include <string>
#include <string_view>
#include <telemetry/name_batch.hpp>

namespace daleshelf
{

/// Counts and logs records that were skipped: other writers of a topic may
/// write records that this host cannot read. All those of half a second are
/// logged in one line, so that a writer of many does not flood the log.
class skipped_records
{
public:
    /// Adds a record to the next log line.
    /// @param topic name of the record's topic
    /// @param key the record's key; empty if it cannot be read either
    /// @param offset the record's offset in the topic
    /// @param error why the record cannot be read
    void report(std::string_view topic, std::string_view key, log_offset offset,
                std::string_view error);

    /// Writes the log line, if records were skipped since the last one.
    void log_summary();

    /// @return number of records skipped since the start of the process
    [[nodiscard]] std::int64_t total() const
    {
        return m_total;
    }

private:
    static constexpr std::size_t max_names = 8;

    name_batch m_batch{max_names};
    std::int64_t m_total = 0;
    log_offset m_newest;
    std::string m_error;
};

} // namespace daleshelf
