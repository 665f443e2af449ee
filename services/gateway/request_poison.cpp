// How a request's flow treats requests that may end servers. The steps are
// those of docs/design/poison.md, "What is done".
#include "request_flow.hpp"

#include <base/http_status.hpp>

namespace daleshelf
{

namespace
{

// Until the one that is on its way has shown what it does: the longest
// objective of a first event in use is 1.2 s.
constexpr milliseconds retry_when_suspected{1000};
// In which other hosts' words have come, and the tick in which they are read.
constexpr milliseconds hold_time{300};
// Whoever has less time than so many holds is told at once to come back.
constexpr int least_holds_left = 3;

} // namespace

request_content request_flow::content() const
{
    const auto* host = m_request.head.fields.find("Host");
    return {m_tenant == nullptr ? workspace_id() : m_tenant->name,
            host == nullptr ? "" : std::string_view(*host),
            m_request.head.method, m_request.head.target, m_request.body};
}

// Step 1: most requests are alike to none that is known, which is cheap to see.
void request_flow::recognise()
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
    const auto print = fingerprint_of(content());
    if (m_state.poison.find(print) != nullptr)
    {
        m_suspect = suspect_request{print, shape, m_service->name};
    }
}

// Whether it has ended several servers and another one is on its way.
bool request_flow::must_wait(const request_fingerprint& print) const
{
    const auto servers = m_state.servers.usable(m_service->name).size();
    const auto now = gateway_state::now();
    const bool is_alone = !m_state.suspects.has(print);
    return m_state.poison.must_wait(print, servers, now) ||
           (!is_alone && m_state.poison.is_serialized(print, servers, now));
}

// What other hosts saw of its last end is there in a moment: most that wait for
// it are innocent, and a refusal would cost them a second.
awaitable<void> request_flow::hold_until_told()
{
    const auto servers = m_state.servers.usable(m_service->name).size();
    const auto judged = m_state.poison.judge(m_suspect->fingerprint, servers,
                                             gateway_state::now());
    const bool has_time = time_left() > hold_time * least_holds_left;
    if (judged != suspicion::suspect || !must_wait(m_suspect->fingerprint) ||
        !has_time)
    {
        co_return;
    }
    boot_timer timer(m_state.context, hold_time);
    co_await timer.async_wait(use_result);
}

// Step 2: what is proved is refused at once, but for the one host that tries it
// again; of what is suspected one at a time is sent.
// @return whether the request has its final answer
awaitable<bool> request_flow::is_stopped_as_poison()
{
    if (!m_suspect)
    {
        co_return false;
    }
    co_await hold_until_told();
    if (m_is_cancelled)
    {
        // The attempt that follows sends nothing.
        co_return false;
    }
    const auto now = gateway_state::now();
    const auto& print = m_suspect->fingerprint;
    const auto servers = m_state.servers.usable(m_service->name).size();
    const auto judged = m_state.poison.judge(print, servers, now);
    const bool is_proved = judged == suspicion::confirmed;
    const bool may_go =
        is_proved ? m_state.poison.acquire_probe(print, m_state.self, now)
                  : !must_wait(print);
    if (m_state.poison.has_unsent())
    {
        m_state.poison_updates.notify();
    }
    if (may_go)
    {
        co_return false;
    }
    if (m_may_have_run || m_answer.has_begun())
    {
        co_await give_up(attempt_end::broken);
        co_return true;
    }
    refund_quota();
    const auto wait = is_proved ? absl::ToChronoMilliseconds(
                                      m_state.poison.time_to_probe(print, now))
                                : retry_when_suspected;
    co_await refuse(http_status::unavailable,
                    is_proved ? "ends_servers" : "may_end_servers",
                    std::max(wait, retry_when_suspected));
    co_return true;
}

// Step 3: its next server is one where it harms least.
void request_flow::mark_suspect(choice_request& wanted)
{
    if (m_suspect)
    {
        wanted.is_suspect = true;
        wanted.suspected_at = m_state.suspects.servers();
    }
}

// Step 4: evidence for it, or against.
void request_flow::note_attempt(const server_entry& server, attempt_end end,
                                monotonic::time_point began)
{
    if (end != attempt_end::answered)
    {
        note_open(server, end, began);
        return;
    }
    const completed_response given{{server.id, server.started_at},
                                   m_state.self};
    const auto now = gateway_state::now();
    if (m_suspect)
    {
        m_state.poison.record_response(m_suspect->fingerprint, given, now);
        m_state.poison_updates.notify();
    }
    else
    {
        m_state.poison.record_shape_response(shape_of(content()), given, now);
    }
}

// It is evidence if the server ends; whether that shows at once, or only when
// another request comes there, does not hang on who waits for this one.
void request_flow::note_open(const server_entry& server, attempt_end end,
                             monotonic::time_point began)
{
    const bool is_broken = end == attempt_end::broken;
    const bool is_open =
        is_broken || end == attempt_end::abandoned || end == attempt_end::late;
    if (!is_open || !m_was_sent)
    {
        return;
    }
    const auto request = m_suspect.value_or(suspect_request{
        fingerprint_of(content()), shape_of(content()), m_service->name});
    m_state.ends.note_open(server, request, gateway_state::to_time(began));
    if (is_broken)
    {
        m_suspect = request;
        m_state.ends.ask_soon(server, end_sign::broken);
    }
}

} // namespace daleshelf
