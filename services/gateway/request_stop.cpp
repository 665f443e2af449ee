// Requests while the process is stopping: each has to end before it does.
#include "request_flow.hpp"

#include <algorithm>
#include <base/http_status.hpp>

namespace daleshelf
{

namespace
{

// Requests that arrive later than this after the stop are rejected: by then the
// load balancer has had time to route requests to other hosts.
constexpr milliseconds stop_accept_window{2900};

} // namespace

void request_flow::expire()
{
    m_deadline = std::min(m_deadline, monotonic::now());
    if (m_exchange != nullptr)
    {
        m_exchange->expire();
    }
}

// @return whether the request is not expected to end before this process does
bool request_flow::outlasts_process() const
{
    if (!m_state.is_stopping)
    {
        return false;
    }
    const auto now = monotonic::now();
    if (m_request.received - m_state.stopping_since > stop_accept_window ||
        now >= m_state.responses_due)
    {
        return true;
    }
    const auto times = m_state.completion_times.find(m_route->name);
    if (times == m_state.completion_times.end())
    {
        return false;
    }
    return absl::FromChrono(m_state.responses_due - now) <
           times->second.upper_estimate();
}

// Rejects a request that can no longer be served in time, before it is sent.
// @return whether the request has its final response
awaitable<bool> request_flow::reject_if_outlasting()
{
    if (m_may_have_run || !outlasts_process())
    {
        co_return false;
    }
    refund_quota();
    co_await reject(http_status::unavailable, "stopping", retry_when_full);
    co_return true;
}

// Observes the time that an attempt took, up to its end or its deadline.
void request_flow::record_completion_time(attempt_result result,
                                          monotonic::duration time)
{
    if (result == attempt_result::answered || result == attempt_result::late)
    {
        m_state.completion_times[m_route->name].observe(absl::FromChrono(time));
    }
}

} // namespace daleshelf
