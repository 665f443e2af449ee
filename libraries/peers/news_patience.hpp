/// @file
/// When a peer is asked for records; free of I/O.
#pragma once

#include "peer_table.hpp"

#include <absl/time/time.h>

#include <map>
#include <optional>

namespace daleshelf
{

/// Waits until a peer has known a record for longer than the store and the
/// readers take to tell of it. While a list changes all the time some peer
/// always knows a little more: what counts is how long that same record is
/// missing, not how long anything is.
class news_patience
{
public:
    explicit news_patience(absl::Duration patience) : m_patience(patience) {}

    /// @param own what this host knows
    /// @param source the peer that knows more, if there is one
    /// @return whether the peer is to be asked now; a new wait begins then
    bool is_over(const known_records& own,
                 const std::optional<news_source>& source, absl::Time now);

private:
    /// A record that a peer was first heard to know.
    struct missing_record
    {
        std::int64_t position = 0;
        absl::Time since;
    };

    absl::Duration m_patience;
    std::map<shared_topic, missing_record> m_missing;
};

} // namespace daleshelf
