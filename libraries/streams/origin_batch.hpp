/// @file
/// Origins of streams that wait to be written to the log; free of I/O.
#pragma once

#include "origin_message.hpp"
#include "origin_store.hpp"

#include <cstddef>
#include <deque>
#include <vector>

namespace daleshelf
{

/// How often a host writes origins to the log.
/// @param fleet_size number of hosts that write
/// @return time between two writes of one host
[[nodiscard]] absl::Duration origin_write_interval(std::size_t fleet_size);

/// Collects origins until they are written, bounded in number: the oldest ones
/// are dropped first. Origins that have expired are dropped with the next
/// addition.
class origin_batch
{
public:
    /// @param capacity maximum number of origins
    explicit origin_batch(std::size_t capacity) : m_capacity(capacity) {}

    /// @param keep_time for which the stream can be resumed
    void add(const stream_origin& origin, absl::Duration keep_time,
             absl::Time now);

    /// Removes the oldest origins.
    /// @param limit maximum number
    /// @return those whose streams can still be resumed
    [[nodiscard]] std::vector<timed_origin> take(std::size_t limit,
                                                 absl::Time now);

    /// Puts origins back whose write may have failed.
    /// @param taken_at when `take` returned them
    void put_back(const std::vector<timed_origin>& origins,
                  absl::Time taken_at);

    [[nodiscard]] std::size_t size() const
    {
        return m_origins.size();
    }

private:
    void drop_expired(absl::Time now);

    std::size_t m_capacity;
    std::deque<kept_origin> m_origins; ///< oldest first
};

} // namespace daleshelf
