/// @file
/// What a configuration replica asks to be done.
#pragma once

#include "change.hpp"

#include <base/identifiers.hpp>
#include <string>
#include <variant>
#include <vector>

namespace daleshelf
{

/// Read the configuration stream, waiting for new records.
struct read_records
{
    log_offset from;
    /// Whether the log may hold the answer back until there is a record; not
    /// before this host has caught up once.
    bool may_wait = false;
};

/// Read the newest snapshot from the snapshot stream.
struct read_snapshot
{
};

/// Append a record to the configuration stream.
struct append_record
{
    std::string data;
};

/// Append a record to the snapshot stream.
struct append_snapshot
{
    std::string data;
};

/// Ask a peer that has more, or any, for records.
struct ask_peer
{
    log_offset from;
};

/// The state has changed from `from` on.
struct state_changed
{
    log_offset from;
    bool is_reset = false; ///< events between were not seen
};

/// A change proposed here is settled.
struct change_settled
{
    change_id id;
    change_outcome outcome;
};

/// Something that operators should see.
struct replica_warning
{
    enum class cause
    {
        unreachable,
        reachable,
        went_back,
        trimmed,
        skipped_record,
    };

    cause what = cause::unreachable;
    log_offset offset;
    std::string message;
};

using replica_action =
    std::variant<read_records, read_snapshot, append_record, append_snapshot,
                 ask_peer, state_changed, change_settled, replica_warning>;
using replica_actions = std::vector<replica_action>;

} // namespace daleshelf
