/// @file
/// How fast the engines of a service are, as far as that is known.
#pragma once

#include <absl/time/time.h>

namespace daleshelf
{

/// Speeds of one service's engines. The values here are priors, of a slow
/// engine, so that too many servers are ordered rather than too few until
/// enough is seen; each is replaced by what hosts observe.
struct engine_estimate
{
    /// From sending a request to its first event, without reading, in ms.
    double first_ms = 50;
    double read_ms_per_token = 1.0 / 32;
    /// Part of shared prompt tokens that a server still reads which the hash
    /// names for them: others may have sent them there.
    double doubtful_part = 0.3;
    /// Part of the unread tokens that peers have told which still lies ahead
    /// of a request when it comes: what is told is old.
    double peers_part = 0.5;
    /// Pause between two events with one generation running, in ms.
    double gap_ms = 20;
    /// What each further generation adds to that pause, in ms.
    double gap_ms_per_generation = 0.1;
    /// From the first event to the last, for each token that the client allows
    /// for, in ms.
    double generation_ms_per_token = 10;

    /// From the first event to the last, of the mean answer, in ms.
    double answer_ms = 2000;

    /// Prompts and generations that the values rest on; 0: on priors.
    double prompts = 0;
    double generations = 0;
    /// Mean distance of the time to a first event from the estimate, as a part
    /// of the estimate.
    double first_error = 0;
    absl::Time seen_at = absl::InfinitePast(); ///< the newest observation

    /// @return expected time to the first event with so many tokens to read
    [[nodiscard]] double first_event_ms(double tokens) const
    {
        return first_ms + tokens * read_ms_per_token;
    }
};

} // namespace daleshelf
