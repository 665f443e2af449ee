/// @file
/// Mechanisms of decision that operators can set or switch off.
#pragma once

#include <cstdint>

namespace daleshelf
{

/// Values of the settings' section `policy`; docs/SETTINGS.md lists them. The
/// defaults are what measures best.
struct decision_policy
{
    // Choice of a server.
    bool routes_by_prompt = true;     ///< where parts of the prompt were read
    bool counts_peers = true;         ///< what peers have in flight
    bool passes_over_suspects = true; ///< servers that have failed lately
    bool avoids_halls = true;         ///< where an attempt of a request broke
    bool prefers_own_hall = true;

    // After a failure.
    bool retries_failures = true; ///< at another server
    bool resumes_streams = true;  ///< that have begun

    /// Earliest return of a request beyond its workspace's quota, in ms.
    std::int64_t quota_retry_ms = 500;

    /// Refuse at once what is expected to begin after its deadline.
    bool refuses_hopeless = true;

    // Engines and their number.
    bool learns_engines = true; ///< otherwise the priors stay
    bool orders_servers = true;
    double late_part = 0.005; ///< of prompts, that may miss by waiting
    std::int64_t least_on_demand = 2;
    std::int64_t spare_halls = 2; ///< whose spot servers may all be taken away
    double dry_part = 0.5; ///< of the usual need, bought on demand without spot
};

} // namespace daleshelf
