// Software versions of streams: events of two versions do not fit together. The
// steps are those of docs/design/streams.md.
#include "request_flow.hpp"

#include <algorithm>
#include <base/http_status.hpp>

namespace daleshelf
{

namespace
{

// Covers the time in which a client notices that its connection is lost.
constexpr milliseconds resumption_margin{2000};

} // namespace

bool request_flow::is_resumption() const
{
    return m_route->is_resumable &&
           (m_facts.resumed || m_facts.last_event.value_or(0) > 0);
}

// Rejects a stream that is to be resumed if the version that began it is not
// certain: at another one it would be corrupted.
// @return whether the request can be served
awaitable<bool> request_flow::pin_stream_version()
{
    if (!is_resumption())
    {
        m_state.origins.observe_wait(
            absl::FromChrono(m_facts.deadline.value_or(m_route->timeout)));
        co_return true;
    }
    origin_query query;
    query.begun_by = m_facts.resumed.value_or(request_id());
    query.resumed_by = m_facts.id;
    query.service = m_service->name;
    query.span = absl::FromChrono(m_route->timeout + resumption_margin);
    m_origin = co_await m_state.origins.find(query);
    if (m_is_cancelled)
    {
        log_outcome("client_left");
        co_return false;
    }
    const auto* service = service_of(*m_origin);
    if (service == nullptr)
    {
        log_unknown_version();
        co_await reject(http_status::unavailable, "unknown_stream_version",
                        retry_when_full);
        co_return false;
    }
    m_service = service;
    m_stream_version = m_origin->origin.version;
    co_return true;
}

// @return the service that began the stream, or null if that is unknown or no
// longer behind the route
const ingress_service* request_flow::service_of(const found_origin& found) const
{
    const auto& targets = m_route->targets;
    const bool is_derived = found.source == origin_source::sole;
    const bool is_behind_route =
        std::any_of(targets.begin(), targets.end(),
                    [&](const auto& target)
                    { return target.service == found.origin.service; });
    if (found.source == origin_source::unknown || !is_behind_route ||
        (is_derived && targets.size() > 1))
    {
        return nullptr;
    }
    return m_routes->find_service(found.origin.service);
}

// Called before the first event is forwarded, so that its keepers know the
// version by the time at which the client can lose the stream.
void request_flow::record_stream_origin()
{
    if (m_stream_version)
    {
        return;
    }
    m_stream_version = m_attempted_version;
    if (!m_route->is_resumable)
    {
        return;
    }
    const auto client_deadline =
        m_request.received + m_facts.deadline.value_or(m_route->timeout);
    m_state.origins.record({m_facts.id, m_service->name, *m_stream_version},
                           absl::FromChrono(client_deadline - monotonic::now() +
                                            resumption_margin));
}

} // namespace daleshelf
