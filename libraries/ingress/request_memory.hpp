/// @file
/// Bounds the memory of requests that clients have sent.
#pragma once

#include "forward.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstddef>

namespace daleshelf
{

/// The bytes that all requests of the process hold together, from the first
/// byte that was received to the last attempt. Once they are used up,
/// unfinished requests are shed, the costliest first: a cost is the bytes that
/// a request holds times the time since it last grew, so that uploads that
/// stall yield to those that progress, and large ones to small ones. Complete
/// requests are never shed, since they may have run.
class request_memory
{
public:
    /// @param limit bytes that all requests may hold together; see
    /// `request_memory_limit` for what is left for small ones
    explicit request_memory(std::size_t limit) : m_limit(limit) {}

    request_memory(const request_memory&) = delete;
    request_memory& operator=(const request_memory&) = delete;
    ~request_memory() = default;

    /// @return the bytes held now
    [[nodiscard]] std::size_t held() const
    {
        return m_held;
    }

    [[nodiscard]] std::size_t limit() const
    {
        return m_limit;
    }

private:
    friend class request_memory_share;

    bool resize(request_memory_share& share, std::size_t bytes, absl::Time now);
    [[nodiscard]] request_memory_share* costliest(absl::Time now) const;

    std::size_t m_limit;
    std::size_t m_held = 0;
    absl::flat_hash_set<request_memory_share*> m_unfinished;
};

} // namespace daleshelf
