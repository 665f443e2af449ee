/// @file
/// Routing and scaling mechanisms that operators can tune or switch off.
#pragma once

#include <cstdint>

namespace daleshelf
{

/// Values of the settings section `policy`; docs/SETTINGS.md lists them.
/// Members carry the names of their settings, except `retries_failures`, which
/// is set by `policy.retries`.
struct decision_policy
{
    // Choice of an upstream.
    bool routes_by_prompt = true;     ///< prefers a cached prompt prefix
    bool counts_peers = true;         ///< adds the in-flight load of peers
    bool passes_over_suspects = true; ///< avoids upstreams with recent failures
    bool avoids_halls = true; ///< in which an attempt of the request broke
    bool prefers_own_hall = true;

    // Engines with at least `min_slot_tokens` of memory for each slot.
    /// Number of engines that are compared for a request. All hosts compare the
    /// same ones for a prompt, so that each shared part is cached by few, and
    /// prompts differ in them, so that hosts with the same loads do not all
    /// choose the same engine.
    std::int64_t compared_engines = 2;
    bool weighs_slots = true;  ///< counts the wait for a free slot
    bool weighs_speed = true;  ///< counts the observed speed of each engine
    bool weighs_memory = true; ///< counts the memory that requests occupy
    bool shares_loads = false; ///< counts the loads that hosts of a hall share
    bool shares_fairly = true; ///< limits workspaces to their fair share
    bool spreads_returns = true; ///< retry times follow expected capacity

    // After a failure.
    bool retries_failures = true; ///< at another upstream
    bool resumes_streams = true;  ///< continues broken streams elsewhere

    /// Minimum retry delay for a request that exceeds its workspace's quota, in
    /// ms.
    std::int64_t quota_retry_ms = 500;

    /// Rejects at once requests whose first event is expected after their
    /// deadline.
    bool refuses_hopeless = true;

    // Speed estimates of engines, and scaling.
    bool learns_engines = true; ///< otherwise uses the priors only
    bool orders_servers = true; ///< scales services with their load
    /// Fraction of prompts that may miss their objective because of queueing.
    double late_part = 0.005;
    /// Minimum number of on-demand upstreams of a service.
    std::int64_t least_on_demand = 2;
    /// Halls that may lose all their spot upstreams at once.
    std::int64_t spare_halls = 2;
    /// Fraction of the way from the minimum to the usual need that is bought on
    /// demand while no spot upstreams are available.
    double dry_part = 0.5;
};

} // namespace daleshelf
