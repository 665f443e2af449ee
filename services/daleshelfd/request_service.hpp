/// @file
/// Runs generation requests: does what their state machines ask for.
#pragma once

#include "answer_sink.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <base/timer_queue.hpp>
#include <deque>
#include <http/forward.hpp>
#include <memory>
#include <requests/request_machine.hpp>
#include <requests/retry_budget.hpp>
#include <string>
#include <telemetry/span_exporter.hpp>
#include <upstreams/engine_client.hpp>
#include <vector>

namespace daleshelf
{

class configuration;
class node_state;
struct upstream_entry;

/// Limits of what is kept after a request has ended.
struct kept_answer_limits
{
    std::size_t bytes = 0;
    absl::Duration time;
};

/// All generation requests that this host owns.
class request_service
{
public:
    /// @param node configuration and loads; must outlive this object
    /// @param engines sends attempts; must outlive this object
    /// @param spans takes a span for each attempt; must outlive this object
    /// @param limits of finished answers
    request_service(node_state& node, engine_client& engines,
                    span_exporter& spans, const kept_answer_limits& limits);
    request_service(const request_service&) = delete;
    request_service& operator=(const request_service&) = delete;
    ~request_service() = default;

    /// Accepts a request and starts it.
    /// @param description what is asked
    /// @param sink where the answer goes
    void start(const request_description& description,
               std::shared_ptr<answer_sink> sink);

    /// Sends the answer of a request again, from its start, and goes on as
    /// more of it comes.
    /// @param id the request
    /// @param user workspace of who asks
    /// @param sink where the answer goes
    /// @return false if there is no such request of that workspace
    bool attach(const request_id& id, const workspace_id& user,
                std::shared_ptr<answer_sink> sink);

    /// Moves the requests at an upstream that is leaving.
    void on_upstream_leaving(const upstream_id& id);

    /// @return requests that have not ended
    [[nodiscard]] std::size_t in_flight() const;

private:
    struct live_request;
    using request_ptr = std::shared_ptr<live_request>;

    void perform(const request_ptr& request, const request_actions& actions);
    void perform_one(const request_ptr& request, const start_attempt& action);
    void perform_one(const request_ptr& request, const resume_stream& action);
    void perform_one(const request_ptr& request, const cancel_attempt& action);
    void perform_one(const request_ptr& request, const deliver_token& action);
    void perform_one(const request_ptr& request,
                     const complete_request& action);
    void perform_one(const request_ptr& request, const fail_request& action);
    void call_engine(const request_ptr& request, const attempt_id& attempt,
                     const upstream_entry& upstream,
                     const std::string& resume_id);
    engine_handlers make_handlers(const request_ptr& request,
                                  const attempt_id& attempt,
                                  const upstream_id& upstream);
    void on_attempt_ended(const request_ptr& request, const attempt_id& attempt,
                          const upstream_id& upstream,
                          const attempt_result& result);
    void end(const request_ptr& request);
    void forget_old() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    request_ptr find(const request_id& id) const;

    node_state& m_node;
    engine_client& m_engines;
    span_exporter& m_spans;
    kept_answer_limits m_limits;
    retry_budget m_retries;
    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<request_id, request_ptr>
        m_requests ABSL_GUARDED_BY(m_mutex);
    std::deque<request_ptr> m_ended ABSL_GUARDED_BY(m_mutex);
    std::size_t m_ended_bytes ABSL_GUARDED_BY(m_mutex) = 0;
    std::size_t m_in_flight ABSL_GUARDED_BY(m_mutex) = 0;
    timer_queue m_timers;
};

} // namespace daleshelf
