/// @file
/// Learns how fast the engines of a service are from what this host sees.
#pragma once

#include "engine_estimate.hpp"
#include "linear_fit.hpp"

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <map>

namespace daleshelf
{

/// One prompt that a server has read.
struct prompt_seen
{
    double certain_tokens = 0;     ///< that the server had not read before
    double doubtful_tokens = 0;    ///< that it may have read for another host
    double ahead_tokens = 0;       ///< of this host, sent there before, unread
    double peers_ahead_tokens = 0; ///< the same, as peers have told
    double first_event_ms = 0;     ///< since the request was sent
};

/// One answer that a server has generated to its end.
struct generation_seen
{
    double allowed_tokens = 0; ///< the most that the client asked for
    double events = 0;
    double first_to_last_ms = 0;
    double running = 0; ///< generations at that server, with this one
};

/// Estimates the speeds of one service from own observations and from the
/// estimates of peers, each weighted by what it rests on. Free of I/O.
class engine_model
{
public:
    engine_model();

    void note_prompt(const prompt_seen& prompt, absl::Time now);
    void note_generation(const generation_seen& generation, absl::Time now);

    /// Takes what a peer has learned by itself.
    void set_peer(const host_id& peer, const engine_estimate& learned);

    /// Forgets a peer that is gone.
    void drop_peer(const host_id& peer);

    /// Joins what this host and its peers have learned.
    void refresh();

    /// @return what this host alone has learned, for its peers
    [[nodiscard]] engine_estimate own() const;

    /// @return the joint estimate, as of the last refresh
    [[nodiscard]] const engine_estimate& joint() const
    {
        return m_joint;
    }

private:
    [[nodiscard]] double read_ms_per_thousand() const;

    linear_fit<3> m_reading;
    double m_doubtful_tokens; ///< in thousands, as is the next
    double m_read_tokens;     ///< of those in doubt
    linear_fit<2> m_gaps;
    double m_allowed_tokens;
    double m_generating_ms;
    double m_generations = 0;
    absl::Time m_seen_at = absl::InfinitePast();
    std::map<host_id, engine_estimate> m_peers;
    engine_estimate m_joint;
};

} // namespace daleshelf
