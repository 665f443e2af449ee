/// @file
/// Decides when to fetch missing records from a peer; free of I/O.
#pragma once

#include "peer_table.hpp"

#include <absl/time/time.h>

#include <map>
#include <optional>

namespace daleshelf
{

/// Delays the fetch of a record that a peer has and this host lacks until the
/// store and the readers have had time to deliver it. The delay runs per
/// record, not per topic: while a list changes constantly, some peer is always
/// slightly ahead, although each single record arrives in time.
class fetch_delay
{
public:
    /// @param delay how long the same record must be missing
    explicit fetch_delay(absl::Duration delay) : m_delay(delay) {}

    /// @param own the positions of this host
    /// @param source the peer that is ahead, if there is one
    /// @return whether to fetch from the peer now; this restarts the delay
    bool has_elapsed(const topic_positions& own,
                     const std::optional<record_source>& source,
                     absl::Time now);

private:
    /// The first record that a peer has and this host lacks.
    struct missing_record
    {
        std::int64_t position = 0;
        absl::Time since;
    };

    absl::Duration m_delay;
    std::map<shared_topic, missing_record> m_missing;
};

} // namespace daleshelf
