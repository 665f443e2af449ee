#include "rollout_controller.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Of what the bound allows, that the target gets while it is judged: the other
// half is left to move all shortly before the deadline.
constexpr double trial_part = 0.5;
// Requests are counted for this long before it is known how many will come, and
// so how much of the slack each may take.
constexpr absl::Duration counting_time = absl::Seconds(1);
constexpr double first_part = 0.4;
// What hosts have sent and not told yet, and requests that come faster.
constexpr double bound_part = 0.9;
// Old servers end at once when the order is completed: calls that they have
// begun end meanwhile, and hosts hear that all is to move.
constexpr absl::Duration move_time = absl::Milliseconds(250);
// What is kept for the move at the least: its time, a quarter second until it
// is looked for, and what an order is read late, up to 0.5 s in troubles (one
// play).
constexpr double kept_seconds = 0.9;
// A version is tried with this part of the requests at the least, though an
// order of a few seconds may then be completed late.
constexpr double least_trial = 0.02;
// Fewer answers of a version prove nothing for it: of a bad one with one
// failure in five, thirty are good once in 800 times.
constexpr double least_answers = 30;
// With so much against it a version is not completed.
constexpr double doubt = 0.5;

} // namespace

rollout_controller::rollout_controller(rollout_order order,
                                       absl::Time ordered_at,
                                       const exposure_bound& bound)
    : m_order(std::move(order)), m_ordered_at(ordered_at), m_bound(bound)
{
}

void rollout_controller::take(const rollout_report& report)
{
    if (report.order != m_order.offset)
    {
        return;
    }
    auto& known = m_reports[{report.from, report.started}];
    if (report.seen.sent() >= known.sent())
    {
        known = report.seen;
    }
}

rollout_statistics rollout_controller::seen() const
{
    rollout_statistics sum;
    for (const auto& [host, tallies] : m_reports)
    {
        sum += tallies;
    }
    return sum;
}

rollout_step rollout_controller::next(absl::Time now)
{
    const auto all = seen();
    m_judge.update(all);
    const auto found = m_judge.verdict();
    // 1. A version that is proved bad is taken back, however late.
    if (found.is_bad)
    {
        return {0, rollout_phase::rolled_back, found.proof};
    }
    // 2. All requests are moved for a while before the order is completed.
    if (m_moved_at <= now)
    {
        const bool is_done = now - m_moved_at >= move_time;
        return {
            1, is_done ? std::optional(rollout_phase::completed) : std::nullopt,
            "no proof against it"};
    }
    // 3. Nobody is moved to a version of which too little was seen, or against
    // which much speaks.
    const bool is_judged =
        found.answers >= least_answers && found.strongest < doubt;
    if (is_judged && may_move_all(all, now))
    {
        m_moved_at = now;
        return {1, std::nullopt, "as late as the bound asks for"};
    }
    // 4. Meanwhile a small share.
    if (!is_within_share(all))
    {
        return {0, std::nullopt, "the share is used up"};
    }
    return {trial_share(all, now), std::nullopt,
            is_judged ? "until the deadline" : "too little was seen"};
}

// The slack is dealt out over all requests that are expected.
double rollout_controller::trial_share(const rollout_statistics& seen,
                                       absl::Time now) const
{
    const auto sent = static_cast<double>(seen.sent());
    const auto expected = sent + requests_left(seen, now);
    if (now - m_ordered_at < counting_time || expected <= 0)
    {
        return m_bound.share * first_part;
    }
    const auto duration = absl::ToDoubleSeconds(m_order.duration);
    const auto allowed = m_bound.share + m_bound.slack / expected;
    const auto kept = kept_seconds / duration;
    const auto trial =
        std::min(allowed * trial_part, allowed * bound_part - kept);
    return std::clamp(trial, std::min(least_trial, m_bound.share), 1.0);
}

// @return requests that may still come before the deadline
double rollout_controller::requests_left(const rollout_statistics& seen,
                                         absl::Time now) const
{
    const auto passed = absl::ToDoubleSeconds(now - m_ordered_at);
    const auto left =
        absl::ToDoubleSeconds(m_ordered_at + m_order.duration - now);
    if (passed <= 0 || left <= 0)
    {
        return 0;
    }
    const auto sent = static_cast<double>(seen.sent());
    return sent / passed * left;
}

// Whether all requests until the deadline may go to the target.
bool rollout_controller::may_move_all(const rollout_statistics& seen,
                                      absl::Time now) const
{
    const auto sent = static_cast<double>(seen.sent());
    const auto left = requests_left(seen, now);
    const auto allowed = (sent + left) * m_bound.share + m_bound.slack;
    return static_cast<double>(seen.sent_target) + left <= allowed * bound_part;
}

bool rollout_controller::is_within_share(const rollout_statistics& seen) const
{
    const auto sent = static_cast<double>(seen.sent());
    const auto allowed = sent * m_bound.share + m_bound.slack;
    return static_cast<double>(seen.sent_target) <= allowed * bound_part;
}

} // namespace daleshelf
