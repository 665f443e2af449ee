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
// A part that crashes upstreams does so as they begin to respond. An attempt
// that has brought events for longer than this did not cause the crash by one.
constexpr milliseconds max_response_start{500};

} // namespace

request_content request_flow::content() const
{
    const auto* host = m_request.head.fields.find("Host");
    return {m_tenant == nullptr ? workspace_id() : m_tenant->name,
            host == nullptr ? "" : std::string_view(*host),
            m_request.head.method, m_request.head.target, m_request.body};
}

// Returns the parts of the prompt that other requests may share: all but the
// last one.
std::vector<prompt_part_content> request_flow::shared_parts() const
{
    std::vector<prompt_part_content> parts;
    for (std::size_t index = 0; index + 1 < m_facts.prompt.size(); ++index)
    {
        parts.push_back({m_service->name, m_facts.prompt[index].id});
    }
    return parts;
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
    if (is_confirmed)
    {
        co_await reject_confirmed(fingerprint, "ends_servers");
        co_return true;
    }
    if (m_may_have_run || m_response.has_begun())
    {
        co_await finish_failed(attempt_result::broken);
        co_return true;
    }
    refund_quota();
    co_await reject(http_status::unavailable, "may_end_servers",
                    retry_when_suspected);
    co_return true;
}

// Rejects the request until the next probe of what it is rejected for.
awaitable<void>
request_flow::reject_confirmed(const request_fingerprint& fingerprint,
                               std::string_view reason)
{
    if (m_may_have_run || m_response.has_begun())
    {
        co_await finish_failed(attempt_result::broken);
        co_return;
    }
    refund_quota();
    const auto wait = absl::ToChronoMilliseconds(
        m_state.poison.time_to_probe(fingerprint, gateway_state::now()));
    co_await reject(http_status::unavailable, reason,
                    std::max(wait, retry_when_suspected));
}

bool request_flow::is_confirmed_poison(const request_fingerprint& fingerprint)
{
    const auto servers = m_state.servers.usable_count(m_service->name);
    return m_state.poison.judge(fingerprint, servers, gateway_state::now()) ==
           suspicion::confirmed;
}

// Rejects the request at once if a part of its prompt crashes upstreams, except
// where this host may send it as the probe of that part.
// @return whether the request has its final response
awaitable<bool> request_flow::reject_if_part_is_poison()
{
    if (m_state.poison.size() == 0)
    {
        co_return false;
    }
    for (const auto& part : shared_parts())
    {
        if (!m_state.poison.has_shape(shape_of(part)))
        {
            continue;
        }
        const auto fingerprint = fingerprint_of(part);
        if (!is_confirmed_poison(fingerprint))
        {
            continue;
        }
        const bool is_probe = m_state.poison.acquire_probe(
            fingerprint, m_state.self, gateway_state::now());
        if (m_state.poison.has_unsent())
        {
            m_state.poison_updates.notify();
        }
        if (!is_probe)
        {
            co_await reject_confirmed(fingerprint, "part_ends_servers");
            co_return true;
        }
    }
    co_return false;
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
    const completed_response evidence{{server.id, server.started_at},
                                      m_state.self};
    const auto now = gateway_state::now();
    if (result == attempt_result::answered || has_responded())
    {
        record_part_responses(evidence, now);
    }
    if (result != attempt_result::answered)
    {
        record_unfinished_attempt(server, result, started);
        return;
    }
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

// Records that the parts of the prompt have not crashed an upstream.
void request_flow::record_part_responses(const completed_response& evidence,
                                         absl::Time now)
{
    for (const auto& part : shared_parts())
    {
        const auto shape = shape_of(part);
        m_state.poison.record_shape_response(shape, evidence, now);
        if (m_state.poison.has_shape(shape))
        {
            m_state.poison.record_response(fingerprint_of(part), evidence, now);
            m_state.poison_updates.notify();
        }
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
    record_unfinished_parts(server, started);
    if (is_broken)
    {
        m_suspect = request;
        m_state.crashes.start_probe(server, crash_sign::broken);
    }
}

// Whether the last attempt got beyond the start of its response.
bool request_flow::has_responded() const
{
    return m_first_event_at &&
           monotonic::now() - *m_first_event_at > max_response_start;
}

// Records the parts of the prompt for an attempt that may have crashed its
// upstream as that began to respond.
void request_flow::record_unfinished_parts(const server_entry& server,
                                           monotonic::time_point started)
{
    if (has_responded())
    {
        return;
    }
    for (const auto& part : shared_parts())
    {
        m_state.crashes.record_unfinished_attempt(
            server,
            {fingerprint_of(part), shape_of(part), m_service->name,
             suspect_kind::prompt_part},
            gateway_state::to_time(started));
    }
}

} // namespace daleshelf
