/// @file
/// The way of one request through the gateway.
#pragma once

#include "client_answer.hpp"
#include "gateway_state.hpp"
#include "server_exchange.hpp"

#include <ingress/event_splitter.hpp>
#include <ingress/request_facts.hpp>
#include <memory>
#include <optional>
#include <poison/poison_record.hpp>
#include <string>
#include <telemetry/log_event.hpp>
#include <telemetry/name_batch.hpp>

namespace daleshelf
{

/// One whole request of a client.
struct client_request
{
    request_head head;
    std::string body;
    monotonic::time_point received{};
};

/// Decides, sends and answers one request: finds its route and tenant, takes
/// its quota, and tries servers until one has answered, or until nothing more
/// may be tried. Every request gets exactly one final answer, at once when it
/// is known. The steps are those of docs/design/platform.md, "One request".
class request_flow
{
public:
    request_flow(gateway_state& state, client_answer& answer,
                 client_request request);
    ~request_flow();
    request_flow(const request_flow&) = delete;
    request_flow& operator=(const request_flow&) = delete;

    /// Serves the request to its end.
    awaitable<void> run();

    /// The client has left: the server is freed at once.
    void cancel();

private:
    /// How one attempt has ended.
    enum class attempt_end
    {
        answered,     ///< the client has its whole answer
        not_run,      ///< certainly not run; may be tried elsewhere
        not_reached,  ///< no connection; nothing has arrived
        server_error, ///< run; the server's own failure is kept
        broken,       ///< may have run, or an answer was cut off
        late,         ///< the time is over
        abandoned,    ///< the client has left
    };

    /// A server that may get the request, within its limit.
    struct permitted_server
    {
        server_entry server;
        send_permit permit;
    };

    // When a client may come back that was refused.
    static constexpr milliseconds retry_when_full{250};
    static constexpr milliseconds longest_retry{5000};
    static constexpr std::size_t most_named = 4;

    awaitable<bool> admit();
    awaitable<void> try_servers();
    [[nodiscard]] server_request request_to(permitted_server& target) const;
    awaitable<attempt_end> attempt(permitted_server& target,
                                   const choice_request& wanted);
    awaitable<attempt_end> relay(server_exchange& exchange);
    awaitable<attempt_end> relay_whole(server_exchange& exchange);
    awaitable<attempt_end> relay_events(server_exchange& exchange);
    awaitable<bool> forward_events(event_splitter& splitter,
                                   const response_head& head, bool& is_sound);
    awaitable<bool> send_piece(const response_head& head,
                               std::string_view bytes);
    [[nodiscard]] std::optional<milliseconds>
    hopeless_for(const server_entry& server,
                 const choice_request& wanted) const;
    void refund_quota();
    bool may_try_again(attempt_end end);
    awaitable<void> give_up(attempt_end end);
    awaitable<void> refuse_unserved(attempt_end end);
    awaitable<void> refuse(int status, std::string_view reason,
                           std::optional<milliseconds> retry_after);
    awaitable<void> fail(int status, std::string_view reason);
    awaitable<void> answer_own(const log_event& event, int status,
                               std::string_view reason,
                               std::optional<milliseconds> retry_after);
    [[nodiscard]] std::string bytes_for(const server_entry& server) const;
    [[nodiscard]] bool is_too_late_to_begin() const;
    [[nodiscard]] milliseconds time_left() const;
    [[nodiscard]] milliseconds elapsed() const;
    void count_work();
    void learn_reading(const server_entry& server, const response_head& head,
                       monotonic::duration time);
    void learn_generating(std::int64_t events, monotonic::duration time);
    choice_request next_choice();
    const server_entry* choose_server(choice_request& wanted);
    awaitable<std::optional<permitted_server>>
    choose_permitted(choice_request& wanted);
    [[nodiscard]] request_content content() const;
    void recognise();
    [[nodiscard]] bool must_wait(const request_fingerprint& print) const;
    awaitable<void> hold_until_told();
    awaitable<bool> is_stopped_as_poison();
    void mark_suspect(choice_request& wanted);
    void note_attempt(const server_entry& server, attempt_end end,
                      monotonic::time_point began);
    void note_open(const server_entry& server, attempt_end end,
                   monotonic::time_point began);
    void note_first(const response_head& head, monotonic::duration time);
    void note_version(const server_entry& server, attempt_end end,
                      monotonic::duration time);
    void count_begun();
    void log_attempt(const server_entry& server, attempt_end end) const;
    void log_end(std::string_view outcome);
    void count_end(std::string_view outcome);

    gateway_state& m_state;
    client_answer& m_answer;
    client_request m_request;
    request_facts m_facts;
    std::shared_ptr<const route_table> m_routes;
    const ingress_route* m_route = nullptr;
    const ingress_tenant* m_tenant = nullptr;
    const ingress_service* m_service = nullptr;
    monotonic::time_point m_deadline{};
    double m_quota_cost = 0;
    std::string m_quota_verdict; ///< how it was found, for logs
    bool m_was_counted = false;
    bool m_was_sent = false; ///< in the last attempt, to the server
    std::string m_server_hall;
    bool m_is_cancelled = false;
    bool m_may_have_run = false;
    int m_attempts = 0;             ///< that have reached a server
    expected_work m_work;           ///< of the last attempt
    double m_expected_first_ms = 0; ///< of the last attempt, at an engine
    response_sample m_seen;         ///< of the last attempt
    int m_failed_connects = 0;
    absl::flat_hash_set<upstream_id> m_tried;
    /// Servers without room within their limits, for the log.
    name_batch m_passed_over{most_named};
    absl::flat_hash_set<hall_id> m_broken_halls;
    std::optional<std::int64_t> m_last_event;
    std::optional<std::int64_t> m_weights;
    server_exchange* m_exchange = nullptr;
    std::optional<std::pair<response_head, std::string>> m_error_answer;
    /// Known of only if it may end servers.
    std::optional<suspect_request> m_suspect;
};

} // namespace daleshelf
