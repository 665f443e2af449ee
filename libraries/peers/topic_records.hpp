/// @file
/// Records of a topic that one gateway hands to another.
#pragma once

#include <base/identifiers.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// The newest record of one key.
struct shared_record
{
    log_offset offset;
    std::string key;
    std::string value;
};

/// What a machine knows of a topic: all of it, or what it has just read.
struct shared_records
{
    std::string topic;
    log_offset from; ///< what was read begins here; 0: all that is known
    log_offset next; ///< all records before this offset are known
    std::vector<shared_record> records;
};

/// Splits what was read into parts, so that no datagram fills a link for long.
/// @param from offset of the first of `records`, which follow one another
/// @param part_bytes keys and values of a part, unless one record has more
/// @return at least one part; one without records says that there are none
[[nodiscard]] std::vector<shared_records>
split_records(const std::string& topic, log_offset from,
              const std::vector<shared_record>& records,
              std::size_t part_bytes);

[[nodiscard]] std::string encode(const shared_records& records);

/// @return the records, or nothing if the bytes are none
[[nodiscard]] std::optional<shared_records>
decode_shared_records(std::string_view bytes);

} // namespace daleshelf
