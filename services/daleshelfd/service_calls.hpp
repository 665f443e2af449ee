/// @file
/// Calls of plain services.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <atomic>
#include <base/identifiers.hpp>
#include <deque>
#include <functional>
#include <http/http_client.hpp>
#include <http/http_message.hpp>
#include <memory>
#include <optional>
#include <requests/attempt_result.hpp>
#include <requests/request_description.hpp>
#include <requests/retry_budget.hpp>
#include <string>
#include <telemetry/trace_context.hpp>
#include <vector>

namespace daleshelf
{

class node_state;
class span_exporter;

/// One call of a plain service.
struct service_request
{
    request_id id;
    workspace_id workspace;
    service_name service;
    std::string method;
    std::string path; ///< with the query
    std::string body;
    std::string content_type;
    repeatability repeats = repeatability::once_only;
    bool has_key = false; ///< the answer may be asked for again
    absl::Time deadline;
    trace_context context;
};

/// Forwards calls to the upstreams of plain services.
class service_calls
{
public:
    using answer_handler = std::function<void(http_response)>;

    /// All arguments must outlive this object.
    service_calls(node_state& node, http_client& client, span_exporter& spans);
    service_calls(const service_calls&) = delete;
    service_calls& operator=(const service_calls&) = delete;
    ~service_calls() = default;

    /// @param request what to call
    /// @param on_answer called once with the final answer
    void start(const service_request& request, answer_handler on_answer);

    /// Finds the answer to an earlier call that had an idempotency key.
    /// @param id the call
    /// @param user workspace of who asks
    /// @param on_answer called once, when the answer is there or cannot be had
    void
    find_answer(const request_id& id, const workspace_id& user,
                std::function<void(std::optional<http_response>)> on_answer);

    /// @return calls that have not ended
    [[nodiscard]] std::size_t in_flight() const
    {
        return m_in_flight;
    }

private:
    struct live_call;
    using call_ptr = std::shared_ptr<live_call>;

    void attempt(const call_ptr& call);
    void send(const call_ptr& call, const std::string& url,
              const upstream_id& upstream);
    void on_done(const call_ptr& call, const upstream_id& upstream,
                 const http_transfer_result& transfer);
    /// Answer to a call, or who waits for it.
    struct kept_answer
    {
        workspace_id workspace;
        std::optional<http_response> response;
        std::vector<std::function<void(std::optional<http_response>)>> waiting;
    };

    void keep_answer(const call_ptr& call, const http_response& response);
    void pass_on(const call_ptr& call, verdict run);
    void answer(const call_ptr& call, http_response response);

    node_state& m_node;
    http_client& m_client;
    span_exporter& m_spans;
    retry_budget m_retries;
    std::atomic<std::size_t> m_in_flight = 0;
    absl::Mutex m_mutex;
    absl::flat_hash_map<request_id, kept_answer>
        m_kept ABSL_GUARDED_BY(m_mutex);
    std::deque<request_id> m_kept_order ABSL_GUARDED_BY(m_mutex);
};

} // namespace daleshelf
