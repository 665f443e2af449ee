/// @file
/// Records of the store that nobody can read.
#pragma once

#include <base/identifiers.hpp>
#include <string>
#include <string_view>
#include <telemetry/name_batch.hpp>

namespace daleshelf
{

/// What was skipped: anybody may write a record that others cannot read. One
/// line tells of all that come within half a second, so that a writer of many
/// fills no log.
class skipped_records
{
public:
    /// @param key what the record is of; empty if that cannot be read either
    /// @param error what is wrong with it
    void note(std::string_view topic, std::string_view key, log_offset offset,
              std::string_view error);

    /// Writes the line, if there is anything to tell.
    void write_line();

    /// @return since this start
    [[nodiscard]] std::int64_t total() const
    {
        return m_total;
    }

private:
    static constexpr std::size_t most_named = 8;

    name_batch m_batch{most_named};
    std::int64_t m_total = 0;
    log_offset m_newest;
    std::string m_error;
};

} // namespace daleshelf
