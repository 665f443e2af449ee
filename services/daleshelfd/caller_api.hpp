/// @file
/// The HTTP API towards callers. See docs/API.md.
#pragma once

#include <atomic>
#include <base/identifiers.hpp>
#include <cstdint>
#include <functional>
#include <http/forward.hpp>
#include <memory>
#include <requests/request_description.hpp>
#include <string>
#include <telemetry/span_exporter.hpp>
#include <telemetry/trace_context.hpp>

namespace daleshelf
{

class answer_sink;
class claim_service;
class freshness_gate;
class node_state;
class replication_service;
class request_service;
class service_calls;
struct service_request;
struct workspace_entry;

/// Answers callers.
class caller_api
{
public:
    /// All arguments must outlive this object.
    caller_api(node_state& node, request_service& requests,
               replication_service& replication, service_calls& services,
               claim_service& claims, freshness_gate& gate,
               span_exporter& spans);

    /// Answers one request.
    void handle(const std::shared_ptr<http_exchange>& exchange);

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;
    using answerer = void (caller_api::*)(const exchange_ptr&,
                                          const workspace_entry&);

    /// A path and what answers it.
    struct route;

    void dispatch(const exchange_ptr& exchange);
    bool answer_without_key(const exchange_ptr& exchange);
    workspace_entry authenticate(const http_request& request) const;
    void generate(const exchange_ptr& exchange, const workspace_entry& user);
    void list_models(const exchange_ptr& exchange, const workspace_entry& user);
    void fetch_answer(const exchange_ptr& exchange,
                      const workspace_entry& user);
    void call_service(const exchange_ptr& exchange,
                      const workspace_entry& user);
    void run_claimed(const exchange_ptr& exchange, const workspace_id& user,
                     const request_id& id, absl::Time deadline,
                     const std::function<void()>& on_won,
                     const std::function<void(const request_id&)>& on_lost);
    void send_answer_again(const exchange_ptr& exchange,
                           const workspace_id& user, const request_id& id);
    void send_call_answer_again(const exchange_ptr& exchange,
                                const workspace_id& user, const request_id& id);
    static std::shared_ptr<answer_sink> make_sink(const exchange_ptr& exchange);
    request_description describe(const http_request& request,
                                 const workspace_entry& user);
    service_request describe_call(const http_request& request,
                                  const workspace_entry& user);
    request_id new_request_id();
    trace_context begin_span(const exchange_ptr& exchange,
                             const std::string& name);

    node_state& m_node;
    request_service& m_requests;
    replication_service& m_replication;
    service_calls& m_services;
    claim_service& m_claims;
    freshness_gate& m_gate;
    span_exporter& m_spans;
    std::string m_incarnation_name;
    std::atomic<std::uint64_t> m_last_id = 0;
};

} // namespace daleshelf
