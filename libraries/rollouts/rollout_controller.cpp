#include "rollout_controller.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// The part of the exposure bound that the canary phase may use. The other half
// is needed to move all requests shortly before the deadline.
constexpr double canary_fraction = 0.5;
// The request rate is estimated after this time. Until then the number of
// requests that share the slack is unknown, and the target receives
// `initial_fraction` of the bound's share.
constexpr absl::Duration rate_estimation_time = absl::Seconds(1);
constexpr double initial_fraction = 0.4;
// The margin covers requests that hosts have sent but not reported yet, and an
// increase of the request rate.
constexpr double bound_margin = 0.9;
// All requests go to the target for this long before the order is completed,
// because old upstreams stop at once on completion. Their requests in flight
// finish in this time, and hosts learn that all requests are to move.
constexpr absl::Duration full_share_time = absl::Milliseconds(250);
// The minimum time reserved before the deadline for moving all requests: the
// full share time, a quarter second until the next step, and the delay with
// which an order is read, up to 0.5 s during faults.
constexpr double reserved_seconds = 0.9;
// The minimum share of the canary phase. With it an order of a few seconds may
// be completed late.
constexpr double min_canary_share = 0.02;
// Fewer responses are no evidence that the target is good: of a version that
// fails one request in five, thirty responses are all good once in 800 cases.
constexpr double min_responses = 30;
// From this score on an order is not completed; a target is bad from 1 on.
constexpr double max_completion_score = 0.5;

} // namespace

rollout_controller::rollout_controller(rollout_order order,
                                       absl::Time ordered_at,
                                       const exposure_bound& bound)
    : m_order(std::move(order)), m_ordered_at(ordered_at), m_bound(bound)
{
}

void rollout_controller::add_report(const rollout_report& report)
{
    if (report.order != m_order.offset)
    {
        return;
    }
    auto& stored = m_reports[{report.sender, report.sender_incarnation}];
    if (report.statistics.sent() >= stored.sent())
    {
        stored = report.statistics;
    }
}

rollout_statistics rollout_controller::statistics() const
{
    rollout_statistics sum;
    for (const auto& [host, reported] : m_reports)
    {
        sum += reported;
    }
    return sum;
}

rollout_step rollout_controller::next_step(absl::Time now)
{
    const auto totals = statistics();
    m_analysis.update(totals);
    const auto result = m_analysis.verdict();
    // 1. Roll back a version that is found bad, at any time.
    if (result.is_bad)
    {
        return {0, rollout_phase::rolled_back, result.evidence};
    }
    // 2. Send all requests to the target for a while, then complete the order.
    if (m_all_moved_at <= now)
    {
        const bool is_complete = now - m_all_moved_at >= full_share_time;
        return {1,
                is_complete ? std::optional(rollout_phase::completed)
                            : std::nullopt,
                "no proof against it"};
    }
    // 3. Move all requests to the target if there are enough responses, no
    // strong evidence against it, and few enough requests left until the
    // deadline.
    const bool is_acceptable = result.responses >= min_responses &&
                               result.highest_score < max_completion_score;
    if (is_acceptable && can_move_all(totals, now))
    {
        m_all_moved_at = now;
        return {1, std::nullopt, "as late as the bound asks for"};
    }
    // 4. Otherwise send the canary share.
    if (!is_within_bound(totals))
    {
        return {0, std::nullopt, "the share is used up"};
    }
    return {canary_share(totals, now), std::nullopt,
            is_acceptable ? "until the deadline" : "too little was seen"};
}

// The slack is spread over all requests expected until the deadline.
// @return the share of requests for the target in the canary phase
double rollout_controller::canary_share(const rollout_statistics& statistics,
                                        absl::Time now) const
{
    const auto sent = static_cast<double>(statistics.sent());
    const auto expected = sent + expected_requests(statistics, now);
    if (now - m_ordered_at < rate_estimation_time || expected <= 0)
    {
        return m_bound.share * initial_fraction;
    }
    const auto duration = absl::ToDoubleSeconds(m_order.duration);
    const auto allowed = m_bound.share + m_bound.slack / expected;
    const auto reserved = reserved_seconds / duration;
    const auto canary =
        std::min(allowed * canary_fraction, allowed * bound_margin - reserved);
    return std::clamp(canary, std::min(min_canary_share, m_bound.share), 1.0);
}

// @return the number of requests expected from now to the deadline
double
rollout_controller::expected_requests(const rollout_statistics& statistics,
                                      absl::Time now) const
{
    const auto elapsed = absl::ToDoubleSeconds(now - m_ordered_at);
    const auto remaining =
        absl::ToDoubleSeconds(m_ordered_at + m_order.duration - now);
    if (elapsed <= 0 || remaining <= 0)
    {
        return 0;
    }
    const auto sent = static_cast<double>(statistics.sent());
    return sent / elapsed * remaining;
}

// @return whether all requests until the deadline may go to the target without
// exceeding the exposure bound
bool rollout_controller::can_move_all(const rollout_statistics& statistics,
                                      absl::Time now) const
{
    const auto sent = static_cast<double>(statistics.sent());
    const auto remaining = expected_requests(statistics, now);
    const auto allowed = (sent + remaining) * m_bound.share + m_bound.slack;
    return static_cast<double>(statistics.sent_target) + remaining <=
           allowed * bound_margin;
}

bool rollout_controller::is_within_bound(
    const rollout_statistics& statistics) const
{
    const auto sent = static_cast<double>(statistics.sent());
    const auto allowed = sent * m_bound.share + m_bound.slack;
    return static_cast<double>(statistics.sent_target) <=
           allowed * bound_margin;
}

} // namespace daleshelf
