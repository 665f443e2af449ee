/// @file
/// Request shapes with recent responses.
#pragma once

#include "poison_record.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>

namespace daleshelf
{

/// Keeps the last response to requests of each shape: a request that upstreams
/// answer all the time is a bystander at a crash.
class answered_shapes
{
public:
    /// @param limit number of shapes to keep; the oldest are evicted
    explicit answered_shapes(std::size_t limit) : m_limit(limit) {}

    void add(request_shape shape, const completed_response& response,
             absl::Time now);

    /// @return the last response to the shape, if it came after a time
    [[nodiscard]] std::optional<completed_response>
    find(request_shape shape, absl::Time after) const;

private:
    struct entry
    {
        completed_response response;
        absl::Time at;
    };

    std::size_t m_limit;
    absl::flat_hash_map<request_shape, entry> m_responses;
    std::deque<request_shape> m_order; ///< the oldest first
};

} // namespace daleshelf
