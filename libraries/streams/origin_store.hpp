/// @file
/// Origins of streams that clients may resume; free of I/O.
#pragma once

#include "stream_origin.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <vector>

namespace daleshelf
{

/// An origin, and when it expires.
struct kept_origin
{
    stream_origin origin;
    absl::Time expires_at;
};

/// Keeps origins until their streams can no longer be resumed, bounded in
/// number: the oldest ones are evicted first.
class origin_store
{
public:
    /// @param capacity maximum number of origins
    explicit origin_store(std::size_t capacity);

    /// Keeps an origin. One that is known already does not change.
    /// @param keep_time for which the stream can be resumed; limited to
    /// `max_resumable_time`
    void add(const stream_origin& origin, absl::Duration keep_time,
             absl::Time now);

    /// @return the origin of the stream that the attempt began, if known
    [[nodiscard]] std::optional<stream_origin> find(const request_id& attempt,
                                                    absl::Time now) const;

    /// @return all origins that have not expired, in the order of their
    /// addition
    [[nodiscard]] std::vector<kept_origin> all(absl::Time now) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_origins.size();
    }

private:
    struct known_origin
    {
        service_name service;
        version_name version;
        absl::Time expires_at;
    };

    void evict(absl::Time now);

    std::size_t m_capacity;
    absl::flat_hash_map<request_id, known_origin> m_origins;
    std::deque<request_id> m_order; ///< oldest addition first
};

} // namespace daleshelf
