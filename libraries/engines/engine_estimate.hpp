/// @file
/// Estimated speed of a service's engines.
#pragma once

#include <absl/time/time.h>

namespace daleshelf
{

/// Estimated speed of one service's engines. The defaults are priors that
/// describe a slow engine, so that autoscaling orders too many upstreams rather
/// than too few until there are enough observations, which replace them.
struct engine_estimate
{
    /// Time to the first event without prefill, in ms.
    double first_ms = 50;
    double read_ms_per_token = 1.0 / 32;
    /// Fraction of the shared prompt tokens that the upstream chosen by their
    /// hash still has to read: other hosts may have sent them there before.
    double doubtful_part = 0.3;
    /// Fraction of the unread tokens reported by peers that are still queued
    /// ahead of a request on its arrival: the reports are stale.
    double peers_part = 0.5;
    /// Interval between two events with one generation running, in ms.
    double gap_ms = 20;
    /// Increase of that interval per additional generation, in ms.
    double gap_ms_per_generation = 0.1;
    /// Time from the first event to the last per token that the client allows,
    /// in ms.
    double generation_ms_per_token = 10;

    /// Mean time from the first event of a response to its last, in ms.
    double answer_ms = 2000;

    /// Decayed number of observed prompts and generations; 0: priors only.
    double prompts = 0;
    double generations = 0;
    /// Mean absolute error of the estimated time to the first event, relative
    /// to the estimate.
    double first_error = 0;
    absl::Time observed_at = absl::InfinitePast(); ///< newest observation

    /// @param tokens prompt tokens to read
    /// @return expected time to the first event, in ms
    [[nodiscard]] double first_event_ms(double tokens) const
    {
        return first_ms + tokens * read_ms_per_token;
    }
};

} // namespace daleshelf
