/// @file
/// Requests that wait for room at an upstream.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <admission/fair_queue.hpp>
#include <base/identifiers.hpp>
#include <base/timer_queue.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace daleshelf
{

class node_state;

/// Lets requests wait a little in a fair order, and refuses at once those
/// that would wait too long.
class admission_service
{
public:
    /// What becomes of a waiting request.
    enum class turn
    {
        placed,  ///< it has found an upstream, or has ended meanwhile
        no_room, ///< there is none yet
    };

    using turn_handler = std::function<turn()>;
    using refuse_handler = std::function<void(std::chrono::milliseconds)>;

    /// @param node the policy and the metrics; must outlive this object
    explicit admission_service(node_state& node);

    /// Puts a request into the queue.
    /// @param request what waits
    /// @param deadline of the request
    /// @param on_turn tries to place it; called on any thread
    /// @param on_refused called, later and once, when the wait has become too
    ///        long, with when to come back
    /// @return when to come back, if the request is to be refused at once
    std::optional<std::chrono::milliseconds> wait(const queued_request& request,
                                                  absl::Time deadline,
                                                  turn_handler on_turn,
                                                  refuse_handler on_refused);

    /// @return whether others wait, so that a new request must queue, too
    [[nodiscard]] bool has_waiting() const;

    /// An upstream has room again.
    void on_room();

    /// Charges a workspace for work that was not estimated rightly.
    void charge(const workspace_id& workspace, double weight, double work);

private:
    struct waiting_request
    {
        turn_handler on_turn;
        refuse_handler on_refused;
        timer_queue::timer_id timer = 0;
    };

    void serve();
    void refuse(const request_id& id);
    std::chrono::milliseconds predicted_wait(std::int64_t before) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void count_departure(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    node_state& m_node;
    mutable absl::Mutex m_mutex;
    fair_queue m_queue ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<request_id, waiting_request>
        m_waiting ABSL_GUARDED_BY(m_mutex);
    double m_departures_per_second ABSL_GUARDED_BY(m_mutex) = 0;
    absl::Time m_last_departure ABSL_GUARDED_BY(m_mutex);
    bool m_is_serving ABSL_GUARDED_BY(m_mutex) = false;
    bool m_has_more_room ABSL_GUARDED_BY(m_mutex) = false;
    timer_queue m_timers;
};

} // namespace daleshelf
