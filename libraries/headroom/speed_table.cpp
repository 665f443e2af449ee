#include "speed_table.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

// The speed of an incarnation does not change for good; half a minute of
// observations averages the load of the moment out.
constexpr absl::Duration half_life = absl::Seconds(30);
// Weight of the assumption that an upstream is as fast as the mean, in
// observations: a single interval says little.
constexpr double prior_weight = 2;
constexpr double max_slowdown = speed_estimate::max_slowdown;

// An upstream that is slow for a while is known to be within a second, and gets
// requests again, which probe it, a second after the last observation.
constexpr absl::Duration recent_time = absl::Seconds(1);
constexpr std::size_t min_recent = 2;
constexpr std::size_t max_recent = 16;
// Single intervals vary by less than this factor at equal load.
constexpr double slow_factor = 1.5;
// More than a host makes between two states that it sends to a peer.
constexpr std::size_t max_kept = 256;

bool is_finite(absl::Time time)
{
    return time > absl::InfinitePast() && time < absl::InfiniteFuture();
}

// The clock may be read shortly before an observation is recorded. Times beyond
// that are invalid: they would keep an estimate from expiring.
bool is_recent(absl::Time observed_at, absl::Time now)
{
    const auto age = now - observed_at;
    return age < recent_time && age > -recent_time;
}

bool is_valid(const speed_observation& observed)
{
    return std::isfinite(observed.slowdown) && observed.slowdown > 0 &&
           is_finite(observed.observed_at);
}

double limited_logarithm(double slowdown)
{
    return std::log(std::clamp(slowdown, 1 / max_slowdown, max_slowdown));
}

// @return the position of the first observation after a time
std::deque<speed_observation>::const_iterator
first_after(const std::deque<speed_observation>& observations, absl::Time time)
{
    return std::upper_bound(
        observations.begin(), observations.end(), time,
        [](absl::Time after, const speed_observation& observed)
        { return after < observed.observed_at; });
}

} // namespace

void speed_table::record(const speed_observation& observed)
{
    auto* speed = is_valid(observed) ? find_current(observed.server) : nullptr;
    if (speed == nullptr)
    {
        return;
    }
    if (speed->observed_at - observed.observed_at > recent_time)
    {
        speed->logarithms = 0;
        speed->weight = 0;
        speed->observed_at = absl::InfinitePast();
    }
    add(*speed, observed);
    speed->recent.push_back(
        {limited_logarithm(observed.slowdown), observed.observed_at});
    if (speed->recent.size() > max_recent)
    {
        speed->recent.erase(speed->recent.begin());
    }
    keep_for_peers(observed);
}

void speed_table::merge(const speed_observation& observed)
{
    auto* speed = is_valid(observed) ? find_current(observed.server) : nullptr;
    if (speed != nullptr)
    {
        add(*speed, observed);
    }
}

void speed_table::set_reported_slowdown(const upstream_incarnation& server,
                                        double slowdown, absl::Time reported_at)
{
    auto* speed =
        std::isfinite(slowdown) && slowdown >= 1 && is_finite(reported_at)
            ? find_current(server)
            : nullptr;
    if (speed == nullptr)
    {
        return;
    }
    auto& reported = speed->reported;
    if (!reported.empty() && reported_at < reported.back().observed_at)
    {
        return;
    }
    const auto logarithm = limited_logarithm(slowdown);
    std::erase_if(reported,
                  [&](const timed_factor& known)
                  {
                      return known.logarithm <= logarithm ||
                             reported_at - known.observed_at >= recent_time;
                  });
    reported.push_back({logarithm, reported_at});
    if (reported.size() > max_recent)
    {
        reported.erase(reported.begin());
    }
}

speed_estimate speed_table::estimate(const upstream_incarnation& server,
                                     absl::Time now) const
{
    speed_estimate estimate;
    const auto found = m_speeds.find(server.id);
    if (found == m_speeds.end() ||
        found->second.started_at != server.started_at)
    {
        return estimate;
    }
    const auto& speed = found->second;
    if (speed.weight > 0 && speed.observed_at - now <= recent_time)
    {
        const auto decay =
            std::exp2(-absl::FDivDuration(now - speed.observed_at, half_life));
        estimate.weight = speed.weight * std::min(1.0, decay);
        estimate.observed_at = speed.observed_at;
        const auto mean = speed.logarithms / speed.weight;
        estimate.slowdown =
            std::exp(mean * estimate.weight / (estimate.weight + prior_weight));
    }
    estimate.recent = recent_factor(speed, std::log(estimate.slowdown), now);
    estimate.reported = reported_factor(speed, now);
    return estimate;
}

std::vector<speed_observation>
speed_table::recent_own(absl::Time since, std::size_t max_count) const
{
    const auto first = first_after(m_own, since);
    const auto count =
        std::min(max_count, static_cast<std::size_t>(m_own.end() - first));
    return {m_own.rbegin(),
            m_own.rbegin() + static_cast<std::ptrdiff_t>(count)};
}

void speed_table::drop_if(
    const std::function<bool(const upstream_id&)>& is_gone)
{
    absl::erase_if(m_speeds,
                   [&](const auto& entry) { return is_gone(entry.first); });
}

// Keeps this host's observations sorted by time.
void speed_table::keep_for_peers(const speed_observation& observed)
{
    m_own.insert(first_after(m_own, observed.observed_at), observed);
    if (m_own.size() > max_kept)
    {
        m_own.pop_front();
    }
}

// @return the state of the incarnation, created if it is the first or a newer
// one; null if a newer one is known, or if only the known one has a start time
speed_table::server_speed*
speed_table::find_current(const upstream_incarnation& server)
{
    auto& speed = m_speeds[server.id];
    const upstream_incarnation known{server.id, speed.started_at};
    const bool lacks_start_time = server.started_at <= upstream_birth() &&
                                  known.started_at > upstream_birth();
    if (known.is_newer_than(server) || lacks_start_time)
    {
        return nullptr;
    }
    if (speed.started_at != server.started_at)
    {
        speed = {};
        speed.started_at = server.started_at;
    }
    return &speed;
}

void speed_table::add(server_speed& speed, const speed_observation& observed)
{
    // Reports of peers arrive out of order; an older observation weighs less.
    const auto age = observed.observed_at - speed.observed_at;
    auto weight = 1.0;
    if (speed.weight > 0 && age > absl::ZeroDuration())
    {
        const auto decay = std::exp2(-absl::FDivDuration(age, half_life));
        speed.logarithms *= decay;
        speed.weight *= decay;
    }
    else if (speed.weight > 0)
    {
        weight = std::exp2(absl::FDivDuration(age, half_life));
    }
    speed.observed_at = std::max(speed.observed_at, observed.observed_at);
    const auto logarithm = limited_logarithm(observed.slowdown);
    // A slow phase is left to the short-term estimate. At full weight, a phase
    // of two seconds kept all requests away for two more. The less evidence
    // there is, or is left, the more it counts: a speed that stays is learned.
    const auto mean = speed.logarithms / (speed.weight + prior_weight);
    if (logarithm - mean > std::log(slow_factor))
    {
        weight *= prior_weight / (speed.weight + prior_weight);
    }
    speed.logarithms += weight * logarithm;
    speed.weight += weight;
}

// @param mean logarithm of the long-term slowdown
// @return the factor by which the upstream is slow at the moment; 1: it is not
double speed_table::recent_factor(const server_speed& speed, double mean,
                                  absl::Time now)
{
    double sum = 0;
    std::size_t count = 0;
    for (const auto& [logarithm, observed_at] : speed.recent)
    {
        if (is_recent(observed_at, now))
        {
            sum += logarithm - mean;
            ++count;
        }
    }
    if (count < min_recent)
    {
        return 1;
    }
    const auto factor = std::exp(sum / static_cast<double>(count));
    return factor >= slow_factor ? factor : 1;
}

// @return the largest factor that peers have reported in the last second
double speed_table::reported_factor(const server_speed& speed, absl::Time now)
{
    for (const auto& [logarithm, reported_at] : speed.reported)
    {
        if (is_recent(reported_at, now))
        {
            return std::exp(logarithm);
        }
    }
    return 1;
}

} // namespace daleshelf
