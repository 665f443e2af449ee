#include "quota_service.hpp"

#include <base/text.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

// A keeper responds at once: within 1 ms in the same hall, within 6 ms from
// another. A host that has used up its CPU quota is paused for up to 0.09 s.
constexpr milliseconds response_timeout{100};

std::string format_integer(double value)
{
    return std::to_string(static_cast<std::int64_t>(value));
}

} // namespace

quota_service::quota_service(asio::io_context& context, shared_quota quota)
    : m_context(context), m_quota(std::move(quota))
{
}

awaitable<quota_verdict> quota_service::take(quota_subject subject, double cost)
{
    auto claim = m_quota.open_claim(subject, cost, now());
    while (true)
    {
        const auto step = m_quota.advance(claim, now());
        if (step.result != claim_step::status::pending)
        {
            quota_verdict verdict;
            verdict.is_within = step.result == claim_step::status::granted;
            verdict.explanation = describe(claim);
            co_return verdict;
        }
        const auto sequence_number = step.request->message.sequence;
        const auto response_event =
            std::make_shared<async_event>(m_context.get_executor());
        m_pending_requests[sequence_number] = response_event;
        send(*step.request);
        co_await response_event->wait_for(response_timeout);
        m_pending_requests.erase(sequence_number);
    }
}

void quota_service::tick()
{
    for (const auto& message : m_quota.tick(now()))
    {
        send(message);
    }
    log_rejections();
}

std::string quota_service::receive(const quota_message& message)
{
    const auto reply = m_quota.receive(message, now());
    const auto pending = m_pending_requests.find(message.in_reply_to);
    if (pending != m_pending_requests.end() &&
        m_quota.has_reply(message.in_reply_to))
    {
        pending->second->notify();
    }
    return reply ? encode(*reply) : std::string();
}

absl::Time quota_service::now()
{
    return absl::UnixEpoch() +
           absl::FromChrono(monotonic::now().time_since_epoch());
}

std::string quota_service::describe(const quota_claim& claim) const
{
    const auto [asked, answered] = claim.exchange_counts();
    return concat("collected ", format_integer(claim.collected()), ", asked ",
                  asked, ", answered ", answered, ", hosts ",
                  m_quota.fleet_size(), ", share ",
                  std::to_string(m_quota.share()));
}

void quota_service::send(const addressed_quota_message& message) const
{
    if (m_send)
    {
        m_send(message.to, encode(message.message));
    }
}

// Logs at most one line per workspace and tick, and only if requests were
// rejected since the previous line.
void quota_service::log_rejections()
{
    for (const auto& [workspace, state] : m_quota.buckets().states())
    {
        auto& logged_rejections = m_logged_rejections[workspace];
        if (state.rejected <= logged_rejections)
        {
            continue;
        }
        logged_rejections = state.rejected;
        log(events::quota_view,
            {{"workspace", workspace.value()},
             {"balance", format_integer(state.balance)},
             {"granted", format_integer(state.granted)},
             {"refused", format_integer(state.rejected)},
             {"weight", std::to_string(m_quota.buckets().weight(now()))},
             {"hosts", std::to_string(m_quota.fleet_size())}});
    }
}

} // namespace daleshelf
