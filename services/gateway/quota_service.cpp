#include "quota_service.hpp"

#include <base/text.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

// A keeper answers at once: within 1 ms in its hall, within 6 ms in another.
// One whose processor share is used up stands still for up to 0.09 s.
constexpr milliseconds ask_time{100};

std::string whole(double value)
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
            verdict.how = describe(claim);
            co_return verdict;
        }
        const auto ask = step.request->message.sequence;
        const auto answered =
            std::make_shared<async_event>(m_context.get_executor());
        m_waiting[ask] = answered;
        send(*step.request);
        co_await answered->wait_for(ask_time);
        m_waiting.erase(ask);
    }
}

void quota_service::tick()
{
    for (const auto& message : m_quota.tick(now()))
    {
        send(message);
    }
    log_pools();
}

std::string quota_service::receive(const quota_message& message)
{
    const auto reply = m_quota.receive(message, now());
    const auto waiting = m_waiting.find(message.in_reply_to);
    if (waiting != m_waiting.end() && m_quota.has_reply(message.in_reply_to))
    {
        waiting->second->notify();
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
    return concat("collected ", whole(claim.collected()), ", asked ", asked,
                  ", answered ", answered, ", hosts ", m_quota.fleet_size(),
                  ", share ", std::to_string(m_quota.share()));
}

void quota_service::send(const addressed_quota_message& message) const
{
    if (m_send)
    {
        m_send(message.to, encode(message.message));
    }
}

// One line a workspace and tick at the most, and only where something was
// refused since the last one.
void quota_service::log_pools()
{
    for (const auto& [workspace, state] : m_quota.buckets().states())
    {
        auto& logged = m_logged_refused[workspace];
        if (state.rejected <= logged)
        {
            continue;
        }
        logged = state.rejected;
        log(events::quota_view,
            {{"workspace", workspace.value()},
             {"balance", whole(state.balance)},
             {"granted", whole(state.granted)},
             {"refused", whole(state.rejected)},
             {"weight", std::to_string(m_quota.buckets().weight(now()))},
             {"hosts", std::to_string(m_quota.fleet_size())}});
    }
}

} // namespace daleshelf
