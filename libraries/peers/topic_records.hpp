/// @file
/// Records of a topic that one gateway sends to another.
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

/// Records of a topic: a host's full copy, or what it has just read.
struct shared_records
{
    std::string topic;
    log_offset from; ///< offset at which the read started; 0: a full copy
    log_offset next; ///< the sender knows all records before this offset
    std::vector<shared_record> records;
    host_id root; ///< reader whose relay tree spreads them; empty: not relayed
};

/// Splits records into parts, so that no datagram occupies a link for long.
/// @param from offset of the first of `records`, which are consecutive
/// @param part_bytes limit on the keys and values of a part, exceeded only by
/// a part of one larger record
/// @return at least one part; a part without records means that there are none
[[nodiscard]] std::vector<shared_records>
split_records(const std::string& topic, log_offset from,
              const std::vector<shared_record>& records,
              std::size_t part_bytes);

/// @return the bytes of a datagram
[[nodiscard]] std::string encode(const shared_records& records);

/// @return the records, or nothing if the bytes are not a valid datagram
[[nodiscard]] std::optional<shared_records>
decode_shared_records(std::string_view bytes);

} // namespace daleshelf
