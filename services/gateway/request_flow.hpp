/// @file
/// Handles one client request, from admission to its final response.
#pragma once

#include "client_response.hpp"
#include "gateway_state.hpp"
#include "server_exchange.hpp"

#include <ingress/event_sequence.hpp>
#include <ingress/event_splitter.hpp>
#include <ingress/request_facts.hpp>
#include <memory>
#include <optional>
#include <poison/poison_record.hpp>
#include <string>
#include <telemetry/log_event.hpp>
#include <telemetry/name_batch.hpp>
#include <vector>

namespace daleshelf
{

/// A completely received client request.
struct client_request
{
    request_head head;
    std::string body;
    monotonic::time_point received{};
};

/// Routes, sends, retries and answers one request: finds its route and
/// workspace, takes its quota, and attempts upstreams until one has responded
/// or no further attempt is allowed. Every request gets exactly one final
/// response, sent as soon as it is known. The steps are those of
/// docs/design/platform.md, "One request".
class request_flow
{
public:
    request_flow(gateway_state& state, client_response& response,
                 client_request request);
    ~request_flow();
    request_flow(const request_flow&) = delete;
    request_flow& operator=(const request_flow&) = delete;

    /// Processes the request until its final response is sent.
    awaitable<void> run();

    /// Handles the client's disconnect: aborts the attempt in flight, so that
    /// the upstream is released at once.
    void cancel();

    /// Ends the request soon with the response of one whose deadline has
    /// passed; the process is about to exit.
    void expire();

private:
    /// Result of one attempt.
    enum class attempt_result
    {
        answered,     ///< the client has the complete response
        not_run,      ///< certainly not executed; can be retried elsewhere
        not_reached,  ///< no connection, nothing was delivered
        no_path,      ///< own links are cut, and no peer relays
        server_error, ///< executed; the upstream's 5xx response is kept
        broken,       ///< may have run, or its response was cut off
        late,         ///< the deadline has passed
        abandoned,    ///< the client has disconnected
    };

    /// A chosen upstream, with the permit to send it one request.
    struct permitted_server
    {
        server_entry server;
        send_permit permit;
    };

    // Retry-After of rejected requests.
    static constexpr milliseconds retry_when_full{250};
    static constexpr milliseconds max_retry_after{5000};
    static constexpr std::size_t max_named = 4;

    awaitable<bool> admit();
    awaitable<bool> take_quota();
    [[nodiscard]] bool is_resumption() const;
    awaitable<bool> pin_stream_version();
    [[nodiscard]] const ingress_service*
    service_of(const found_origin& found) const;
    void record_stream_origin();
    awaitable<void> try_servers();
    [[nodiscard]] server_request
    make_server_request(permitted_server& target) const;
    awaitable<attempt_result> attempt(permitted_server& target,
                                      const choice_request& wanted);
    awaitable<attempt_result> relay(server_exchange& exchange);
    awaitable<attempt_result> relay_body(server_exchange& exchange);
    awaitable<attempt_result> relay_event_stream(server_exchange& exchange);
    void begin_events();
    [[nodiscard]] std::optional<std::int64_t> last_event() const;
    awaitable<bool> forward_events(event_splitter& splitter,
                                   const response_head& head,
                                   bool& is_in_order);
    awaitable<bool> send_piece(const response_head& head, std::string bytes);
    [[nodiscard]] std::optional<milliseconds>
    retry_delay_if_too_late(const server_entry& server,
                            const choice_request& wanted) const;
    void refund_quota();
    [[nodiscard]] bool can_run_again() const;
    bool can_retry(attempt_result result);
    awaitable<bool> reserve_resumption();
    awaitable<std::optional<permitted_server>>
    take_target(choice_request& wanted);
    awaitable<void> finish_failed(attempt_result result);
    awaitable<void> reject_unserved(attempt_result result);
    awaitable<void> reject(int status, std::string_view reason,
                           std::optional<milliseconds> retry_after);
    awaitable<void> fail(int status, std::string_view reason);
    awaitable<void>
    send_local_response(const log_event& event, int status,
                        std::string_view reason,
                        std::optional<milliseconds> retry_after);
    [[nodiscard]] std::string serialized_head(const server_entry& server) const;
    [[nodiscard]] bool outlasts_process() const;
    awaitable<bool> reject_if_outlasting();
    void record_completion_time(attempt_result result,
                                monotonic::duration time);
    [[nodiscard]] milliseconds time_left() const;
    [[nodiscard]] milliseconds elapsed() const;
    void record_demand();
    void record_prefill_time(const server_entry& server,
                             const response_head& head,
                             monotonic::duration time);
    void record_generation_time(std::int64_t events, monotonic::duration time);
    choice_request make_choice_request();
    [[nodiscard]] int rank() const;
    [[nodiscard]] std::optional<headroom_needs> headroom_needs_now() const;
    [[nodiscard]] output_length_model::request_length request_length() const;
    [[nodiscard]] std::int64_t own_prompt_tokens() const;
    [[nodiscard]] absl::Duration slot_time() const;
    awaitable<bool> check_share();
    void log_share_exceeded(const workspace_demand& request,
                            const share_verdict& verdict);
    [[nodiscard]] milliseconds return_delay(milliseconds earliest);
    void record_pace(const server_entry& server, std::int64_t events,
                     monotonic::duration forwarding_time);
    void record_output_length(std::int64_t events);
    const server_entry* choose_server(choice_request& wanted);
    awaitable<std::optional<permitted_server>>
    choose_permitted_server(choice_request& wanted);
    [[nodiscard]] request_content content() const;
    void identify_suspect();
    [[nodiscard]] bool must_wait(const request_fingerprint& fingerprint) const;
    awaitable<void> wait_for_peer_reports();
    awaitable<bool> reject_if_poison();
    [[nodiscard]] std::vector<prompt_part_content> shared_parts() const;
    awaitable<bool> reject_if_part_is_poison();
    awaitable<void> reject_confirmed(const request_fingerprint& fingerprint,
                                     std::string_view reason);
    [[nodiscard]] bool
    is_confirmed_poison(const request_fingerprint& fingerprint);
    void record_part_responses(const completed_response& evidence,
                               absl::Time now);
    [[nodiscard]] bool has_responded() const;
    void record_unfinished_parts(const server_entry& server,
                                 monotonic::time_point started);
    void mark_suspect(choice_request& wanted);
    void record_attempt(const server_entry& server, attempt_result result,
                        monotonic::time_point started);
    void record_unfinished_attempt(const server_entry& server,
                                   attempt_result result,
                                   monotonic::time_point started);
    void record_first_event(const response_head& head,
                            monotonic::duration time);
    void record_version_result(const server_entry& server,
                               attempt_result result, monotonic::duration time);
    void count_usage();
    void log_attempt(const server_entry& server, attempt_result result) const;
    void log_resumption(const server_entry& server) const;
    void log_unknown_version() const;
    void log_outcome(std::string_view outcome);
    void count_outcome(std::string_view outcome);

    gateway_state& m_state;
    client_response& m_response;
    client_request m_request;
    request_facts m_facts;
    std::shared_ptr<const route_table> m_routes;
    const ingress_route* m_route = nullptr;
    const ingress_tenant* m_tenant = nullptr;
    const ingress_service* m_service = nullptr;
    monotonic::time_point m_deadline{};
    double m_quota_cost = 0;
    std::string m_quota_verdict; ///< how the verdict was reached, for logs
    bool m_is_usage_counted = false;
    bool m_is_demand_recorded = false;
    bool m_was_sent = false; ///< whether the last attempt sent anything
    connect_error m_connect_error =
        connect_error::none; ///< of the last attempt
    response_fault m_response_fault =
        response_fault::none; ///< of the last attempt
    std::string m_server_hall;
    bool m_is_cancelled = false;
    bool m_may_have_run = false;
    int m_attempts = 0;             ///< attempts that have reached an upstream
    expected_work m_work;           ///< of the last attempt
    double m_expected_first_ms = 0; ///< of the last attempt, at an engine
    response_sample m_seen;         ///< of the last attempt
    int m_failed_connects = 0;
    absl::flat_hash_set<upstream_id> m_tried;
    /// The upstream of the next attempt, whose retry was already taken.
    std::optional<permitted_server> m_reserved;
    /// Upstreams passed over because their limits are used up, for the log.
    name_batch m_passed_over{max_named};
    absl::flat_hash_set<hall_id> m_broken_halls;
    /// When the last attempt forwarded its first event; nothing: none was.
    std::optional<monotonic::time_point> m_first_event_at;
    /// Start of the stretch of the stream whose pace is measured.
    std::optional<monotonic::time_point> m_pace_since;
    std::int64_t m_pace_events = 0;   ///< events of that stretch
    version_name m_attempted_version; ///< software of the last upstream
    /// The software version that has begun the stream; only that one may
    /// continue it.
    std::optional<version_name> m_stream_version;
    /// Of a stream that the client resumes; nothing: it began in this request.
    std::optional<found_origin> m_origin;
    std::optional<event_sequence> m_events; ///< of the stream, once it began
    std::optional<std::int64_t> m_weights_version;
    server_exchange* m_exchange = nullptr;
    std::optional<std::pair<response_head, std::string>> m_error_response;
    /// Set only if the request is suspected of crashing upstreams.
    std::optional<suspect_request> m_suspect;
};

} // namespace daleshelf
