// Handling of queries of death: requests that may crash upstreams. The steps
// are those of docs/design/poison.md, "What is done".
#include "request_flow.hpp"

#include <base/http_status.hpp>

namespace daleshelf
{

namespace
{

// Retry-After of a suspected request, for the attempt in flight to show its
// effect. The longest objective in use for a first event is 1.2 s.
constexpr milliseconds retry_when_suspected{1000};
// Covers the arrival of other hosts' reports and the tick that processes them.
constexpr milliseconds report_wait{300};
// A request with less time left than this many waits is rejected at once.
constexpr int min_waits_left = 3;

} // namespace

request_content request_flow::content() const
{
    const auto* host = m_request.head.fields.find("Host");
    return {m_tenant == nullptr ? workspace_id() : m_tenant->name,
            host == nullptr ? "" : std::string_view(*host),
            m_request.head.method, m_request.head.target, m_request.body};
}

// Step 1: looks the request up among the suspected ones. The shape, which is
// cheap to compute, rules out most requests before the fingerprint is computed.
void request_flow::identify_suspect()
{
    if (m_suspect || m_state.poison.size() == 0)
    {
        return;
    }
    const auto shape = shape_of(content());
    if (!m_state.poison.has_shape(shape))
    {
        return;
    }
    const auto fingerprint = fingerprint_of(content());
    if (m_state.poison.find(fingerprint) != nullptr)
    {
        m_suspect = suspect_request{fingerprint, shape, m_service->name};
    }
}

// Whether the request must not be sent now: other hosts' reports of its last
// crash are outstanding, or the evidence allows one attempt at a time and one
// is in flight.
bool request_flow::must_wait(const request_fingerprint& fingerprint) const
{
    const auto servers = m_state.servers.usable_count(m_service->name);
    const auto now = gateway_state::now();
    const bool is_only_attempt = !m_state.suspects.has(fingerprint);
    return m_state.poison.must_wait(fingerprint, servers, now) ||
           (!is_only_attempt &&
            m_state.poison.is_serialized(fingerprint, servers, now));
}

// Waits briefly for other hosts' reports of the request's last crash. Most
// requests that wait here are innocent, and a rejection costs them a second.
awaitable<void> request_flow::wait_for_peer_reports()
{
    const auto servers = m_state.servers.usable_count(m_service->name);
    const auto level = m_state.poison.judge(m_suspect->fingerprint, servers,
                                            gateway_state::now());
    const bool has_time = time_left() > report_wait * min_waits_left;
    if (level != suspicion::suspect || !must_wait(m_suspect->fingerprint) ||
        !has_time)
    {
        co_return;
    }
    boot_timer timer(m_state.context, report_wait);
    co_await timer.async_wait(use_result);
}

// Step 2: rejects confirmed requests at once, except where this host is the one
// that may send it again as a probe. Suspected requests are sent one at a time.
// @return whether the request has its final response
awaitable<bool> request_flow::reject_if_poison()
{
    if (!m_suspect)
    {
        co_return false;
    }
    co_await wait_for_peer_reports();
    if (m_is_cancelled)
    {
        // A cancelled request's next attempt sends nothing.
        co_return false;
    }
    const auto now = gateway_state::now();
    const auto& fingerprint = m_suspect->fingerprint;
    const auto servers = m_state.servers.usable_count(m_service->name);
    const auto level = m_state.poison.judge(fingerprint, servers, now);
    const bool is_confirmed = level == suspicion::confirmed;
    const bool is_allowed =
        is_confirmed
            ? m_state.poison.acquire_probe(fingerprint, m_state.self, now)
            : !must_wait(fingerprint);
    if (m_state.poison.has_unsent())
    {
        m_state.poison_updates.notify();
    }
    if (is_allowed)
    {
        co_return false;
    }
    if (m_may_have_run || m_response.has_begun())
    {
        co_await finish_failed(attempt_result::broken);
        co_return true;
    }
    refund_quota();
    const auto wait = is_confirmed
                          ? absl::ToChronoMilliseconds(
                                m_state.poison.time_to_probe(fingerprint, now))
                          : retry_when_suspected;
    co_await reject(http_status::unavailable,
                    is_confirmed ? "ends_servers" : "may_end_servers",
                    std::max(wait, retry_when_suspected));
    co_return true;
}

// Step 3: lets the choice prefer upstreams where a crash does least harm.
void request_flow::mark_suspect(choice_request& wanted)
{
    if (m_suspect)
    {
        wanted.is_suspect = true;
        wanted.suspected_at = m_state.suspects.servers();
    }
}

// Step 4: records the result of an attempt as evidence for or against the
// request.
void request_flow::record_attempt(const server_entry& server,
                                  attempt_result result,
                                  monotonic::time_point started)
{
    if (result != attempt_result::answered)
    {
        record_unfinished_attempt(server, result, started);
        return;
    }
    const completed_response evidence{{server.id, server.started_at},
                                      m_state.self};
    const auto now = gateway_state::now();
    if (m_suspect)
    {
        m_state.poison.record_response(m_suspect->fingerprint, evidence, now);
        m_state.poison_updates.notify();
    }
    else
    {
        m_state.poison.record_shape_response(shape_of(content()), evidence,
                                             now);
    }
}

// Records an attempt without a response: it becomes evidence if the upstream
// crashes. The crash can show later than this attempt, on another request to
// the same upstream, whether or not a client still waits for this one.
void request_flow::record_unfinished_attempt(const server_entry& server,
                                             attempt_result result,
                                             monotonic::time_point started)
{
    const bool is_broken = result == attempt_result::broken;
    const bool is_unfinished = is_broken ||
                               result == attempt_result::abandoned ||
                               result == attempt_result::late;
    if (!is_unfinished || !m_was_sent)
    {
        return;
    }
    const auto request = m_suspect.value_or(suspect_request{
        fingerprint_of(content()), shape_of(content()), m_service->name});
    m_state.crashes.record_unfinished_attempt(server, request,
                                              gateway_state::to_time(started));
    if (is_broken)
    {
        m_suspect = request;
        m_state.crashes.start_probe(server, crash_sign::broken);
    }
}

} // namespace daleshelf
