/// @file
/// All generation requests that this host knows.
#pragma once

#include "live_request.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <deque>
#include <memory>
#include <vector>

namespace daleshelf
{

/// Limits of what is kept after a request has ended.
struct kept_answer_limits
{
    std::size_t bytes = 0;
    absl::Duration time;
};

/// Finds requests by id, counts those that are owned and have not ended, and
/// keeps the ended ones within limits of time and memory. Thread-safe; it
/// never takes a request's own mutex.
class request_table
{
public:
    using request_ptr = std::shared_ptr<live_request>;

    explicit request_table(const kept_answer_limits& limits) : m_limits(limits)
    {
    }

    /// @return the request, or null
    [[nodiscard]] request_ptr find(const request_id& id) const;

    /// @param role of a request that is new here; an owner's copy begins as a
    /// replica, until it is owned
    /// @param max_attempts of a request that is new here
    [[nodiscard]] request_ptr
    find_or_add(const request_description& description, copy_role role,
                std::int64_t max_attempts);

    [[nodiscard]] std::vector<request_ptr> all() const;

    /// One more request is owned here, or one less.
    void count_owned(int change);

    /// @return requests owned here that have not ended
    [[nodiscard]] std::size_t owned() const;

    /// Keeps a request that has ended for those who ask again.
    void keep_ended(const request_ptr& request);

private:
    void forget_old() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    kept_answer_limits m_limits;
    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<request_id, request_ptr>
        m_requests ABSL_GUARDED_BY(m_mutex);
    std::deque<request_ptr> m_ended ABSL_GUARDED_BY(m_mutex);
    std::size_t m_ended_bytes ABSL_GUARDED_BY(m_mutex) = 0;
    std::size_t m_owned ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace daleshelf
