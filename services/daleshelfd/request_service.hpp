/// @file
/// Runs generation requests: does what their state machines ask for.
#pragma once

#include "answer_sink.hpp"
#include "request_table.hpp"

#include <absl/time/time.h>

#include <base/timer_queue.hpp>
#include <http/forward.hpp>
#include <memory>
#include <optional>
#include <requests/request_machine.hpp>
#include <requests/retry_budget.hpp>
#include <string>
#include <telemetry/span_exporter.hpp>
#include <upstreams/engine_client.hpp>
#include <vector>

namespace daleshelf
{

class admission_service;
class node_state;
class request_observer;
struct routing_choice;
struct upstream_entry;

/// A copy of a request, as it goes to another host.
struct request_snapshot
{
    request_description description;
    request_progress progress;
};

/// What others need to know of a request to look after it.
struct request_summary
{
    request_id id;
    copy_role role = copy_role::owner;
    host_id owner;
    bool is_ended = false;
    bool has_sinks = false;
    absl::Time last_progress;
};

/// All generation requests that this host owns or keeps copies of.
class request_service
{
public:
    /// @param node configuration and loads; must outlive this object
    /// @param engines sends attempts; must outlive this object
    /// @param admission keeps those that wait; must outlive this object
    /// @param spans takes a span for each attempt; must outlive this object
    /// @param limits of finished answers
    request_service(node_state& node, engine_client& engines,
                    admission_service& admission, span_exporter& spans,
                    const kept_answer_limits& limits);
    request_service(const request_service&) = delete;
    request_service& operator=(const request_service&) = delete;
    ~request_service() = default;

    /// @param observer is told of all changes; set before the first request
    void set_observer(request_observer& observer);

    /// Accepts a request and starts it. Its answer is shown once `confirm`
    /// was called; a refusal is shown at once.
    /// @param description what is asked
    /// @param sink where the answer goes
    void start(const request_description& description,
               std::shared_ptr<answer_sink> sink);

    /// Another host has the request, or none can be had: callers may see the
    /// answer.
    void confirm(const request_id& id);

    /// Sends the answer of a request again, from its start, and goes on as
    /// more of it comes.
    /// @param id the request
    /// @param user workspace of who asks
    /// @param sink where the answer goes
    /// @return false if there is no such request of that workspace here
    bool attach(const request_id& id, const workspace_id& user,
                const std::shared_ptr<answer_sink>& sink);

    /// Takes a copy of a request that another host owns.
    /// @param snapshot the request
    /// @param role what this host is to be; `owner` takes over at once
    /// @param owner the host that runs it
    void take_copy(const request_snapshot& snapshot, copy_role role,
                   const host_id& owner);

    /// The owner of a copy has come further.
    void take_progress(const request_id& id, const request_progress& progress,
                       const host_id& owner);

    /// The owner of a copy is gone; this host runs it from now on.
    void take_over(const request_id& id);

    /// Begins to hand a request to another host.
    /// @return the request; nothing if it is not owned or has ended
    [[nodiscard]] std::optional<request_snapshot>
    begin_relinquish(const request_id& id);

    /// Ends what `begin_relinquish` began.
    /// @param is_taken whether the other host runs it now
    /// @param owner that host
    void end_relinquish(const request_id& id, bool is_taken,
                        const host_id& owner);

    /// @param from first token wanted
    /// @return the request; nothing if it is not known
    [[nodiscard]] std::optional<request_snapshot>
    snapshot(const request_id& id, token_position from) const;

    /// @return all requests that are known, ended ones too
    [[nodiscard]] std::vector<request_summary> summaries() const;

    /// Brings the requests at an upstream that is leaving through.
    /// @param id the upstream
    /// @param leaves_at when it is gone
    void on_upstream_leaving(const upstream_id& id, absl::Time leaves_at);

    /// @return requests owned here that have not ended
    [[nodiscard]] std::size_t in_flight() const;

private:
    using request_ptr = request_table::request_ptr;

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
    void end_attempt(const request_ptr& request, const attempt_id& attempt,
                     const attempt_result& result);
    void own(const request_ptr& request);
    void leave_upstream(const request_ptr& request, absl::Time leaves_at);
    void move_cache(const request_ptr& request, absl::Duration time_left);
    void go_on_elsewhere(const request_ptr& request, const attempt_id& attempt);
    std::shared_ptr<const upstream_entry>
    take_next_upstream(const request_ptr& request);
    routing_choice choose_upstream(const request_ptr& request);
    void place(const request_ptr& request, const attempt_id& attempt,
               const std::shared_ptr<const upstream_entry>& upstream);
    void wait_for_room(const request_ptr& request, const attempt_id& attempt);
    bool try_turn(const request_ptr& request, const attempt_id& attempt);
    void refuse(const request_ptr& request, const attempt_id& attempt,
                std::chrono::milliseconds pause);
    void count_first_token(const request_ptr& request);
    void charge(const request_ptr& request);
    void watch_deadline(const request_ptr& request);
    void on_deadline(const request_ptr& request);
    static void show(live_request& request,
                     const std::shared_ptr<answer_sink>& sink);
    void end(const request_ptr& request);

    node_state& m_node;
    engine_client& m_engines;
    admission_service& m_admission;
    span_exporter& m_spans;
    request_table m_requests;
    request_observer* m_observer = nullptr;
    retry_budget m_retries;
    timer_queue m_timers;
};

} // namespace daleshelf
