/// @file
/// Estimates the speed of a service's engines from observed requests.
#pragma once

#include "engine_estimate.hpp"
#include "linear_fit.hpp"

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <map>

namespace daleshelf
{

/// Observation of one prompt that an upstream has read.
struct prompt_observation
{
    double certain_tokens = 0;     ///< not cached on the upstream
    double doubtful_tokens = 0;    ///< possibly cached for another host
    double ahead_tokens = 0;       ///< unread tokens of this host's requests
    double peers_ahead_tokens = 0; ///< unread tokens of other hosts' requests
    double first_event_ms = 0;     ///< time since the request was sent
};

/// Observation of one response that an upstream has completed.
struct generation_observation
{
    double allowed_tokens = 0; ///< output token limit of the client
    double events = 0;
    double first_to_last_ms = 0;
    double running = 0; ///< generations on that upstream, this one included
};

/// Estimates the speed of one service's engines from local observations and
/// from the estimates of peers, each weighted by its number of observations.
/// Performs no I/O.
class engine_model
{
public:
    engine_model();

    void observe_prompt(const prompt_observation& prompt, absl::Time now);
    void observe_generation(const generation_observation& generation,
                            absl::Time now);

    /// Replaces the local estimate of a peer.
    void set_peer_estimate(const host_id& peer, const engine_estimate& learned);

    /// Removes the estimate of a peer that is gone.
    void drop_peer(const host_id& peer);

    /// Pools the estimates of this host and its peers.
    void refresh();

    /// @return the estimate from this host's observations alone, for its peers
    [[nodiscard]] engine_estimate local_estimate() const;

    /// @return the pooled estimate as of the last refresh
    [[nodiscard]] const engine_estimate& pooled_estimate() const
    {
        return m_pooled_estimate;
    }

private:
    [[nodiscard]] double read_ms_per_unit() const;

    linear_fit<3> m_reading;
    double m_doubtful_tokens; ///< in thousands
    double m_read_tokens;     ///< doubtful tokens that were read, in thousands
    linear_fit<2> m_gaps;
    double m_allowed_tokens;
    double m_generating_ms;
    double m_generations = 0;
    absl::Time m_observed_at = absl::InfinitePast();
    std::map<host_id, engine_estimate> m_peers;
    engine_estimate m_pooled_estimate;
};

} // namespace daleshelf
