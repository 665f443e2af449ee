/// @file
/// Estimates the speed of each upstream.
#pragma once

#include "speed_estimate.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

namespace daleshelf
{

/// Estimates the speed of each upstream incarnation from this host's
/// observations and from those that peers report. Does no I/O. See
/// docs/hard-load.md, part 1.
class speed_table
{
public:
    /// Adds an observation of this host and keeps it for `recent_own`. Ignores
    /// slowdowns that are not positive and finite, times that are not finite,
    /// and observations of an incarnation that is older than the known one or
    /// has no start time while that one has; limits other slowdowns to 1/8 to
    /// 8. The observation is made now: evidence with a later time is
    /// discarded.
    void record(const speed_observation& observed);

    /// Adds an observation that a peer reports.
    void merge(const speed_observation& observed);

    /// Adds a factor by which a peer finds the upstream temporarily slow. The
    /// largest of the last second counts.
    /// @param reported_at not before that of the last report for the upstream;
    /// others are ignored
    void set_reported_slowdown(const upstream_incarnation& server,
                               double slowdown, absl::Time reported_at);

    /// @return the estimate for an incarnation; without observations, that of
    /// an upstream as fast as the mean
    [[nodiscard]] speed_estimate estimate(const upstream_incarnation& server,
                                          absl::Time now) const;

    /// @param since time of the last report to the peer
    /// @param max_count maximum number of observations, the newest ones
    /// @return this host's observations after that time
    [[nodiscard]] std::vector<speed_observation>
    recent_own(absl::Time since, std::size_t max_count) const;

    /// Discards the upstreams for which a predicate holds.
    void drop_if(const std::function<bool(const upstream_id&)>& is_gone);

private:
    /// A factor between durations, and when it was observed.
    struct timed_factor
    {
        double logarithm = 0;
        absl::Time observed_at = absl::InfinitePast();
    };

    struct server_speed
    {
        upstream_birth started_at;
        double logarithms = 0; ///< decayed sum
        double weight = 0;     ///< decayed number of observations
        absl::Time observed_at = absl::InfinitePast();
        std::vector<timed_factor> recent; ///< of this host
        /// By peers, each smaller than those before it: none of the others can
        /// become the largest of the last second.
        std::vector<timed_factor> reported;
    };

    server_speed* find_current(const upstream_incarnation& server);
    void add(server_speed& speed, const speed_observation& observed);
    void keep_for_peers(const speed_observation& observed);
    [[nodiscard]] static double recent_factor(const server_speed& speed,
                                              double mean, absl::Time now);
    [[nodiscard]] static double reported_factor(const server_speed& speed,
                                                absl::Time now);

    absl::flat_hash_map<upstream_id, server_speed> m_speeds;
    std::deque<speed_observation> m_own; ///< for peers, the newest last
};

} // namespace daleshelf
