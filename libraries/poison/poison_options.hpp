/// @file
/// How sure one must be that a request ends servers, and what follows.
#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace daleshelf
{

/// How sure one must be, and for how long a request is refused then.
struct poison_options
{
    /// Logarithm of the odds: one innocent request in 10,000 is refused.
    double proof = 9.2;
    /// After so many ends a request that could not be told from another that
    /// was there each time is refused as well.
    std::size_t most_ends = 3;
    /// Ends within this time of one another may have one cause: the processes
    /// of a machine or hall that is lost end within about a quarter second.
    absl::Duration storm = absl::Milliseconds(500);
    /// Within this time after an end, what all hosts saw then has come: four
    /// steps of 50 ms.
    absl::Duration settle = absl::Milliseconds(250);
    /// Ends that count towards how often servers end anyway.
    absl::Duration memory = absl::Seconds(60);
    /// A server ends by itself once in this time: reclaimable machines stay for
    /// longer.
    absl::Duration usual_life = absl::Minutes(10);
    /// A request that ends servers is seldom answered: once in twenty.
    double answered_odds = 3;
    /// A proved request takes the blame for an end off another one that is
    /// weaker by this: of equal ones either may have caused it.
    double stronger_by = 4;
    /// One request crashes its upstreams at ages that lie within this factor.
    double age_spread = 3;
    /// When it is tried again; twice as long each time. A server and its cache
    /// are back within some 15 s: that is an eighth of one server.
    absl::Duration first_trial = absl::Minutes(2);
    absl::Duration longest_trial = absl::Hours(1);
    /// Before a claimed trial is used, all hosts have heard of the claim.
    absl::Duration claim_time = absl::Milliseconds(500);
    /// After which a trial that brought nothing counts as lost.
    absl::Duration trial_time = absl::Seconds(30);
    /// Records of 0.3 KB.
    std::size_t most_records = 512;
    /// Shapes of 0.1 KB that were answered here: half a minute of 120 requests
    /// a second, each of another one.
    std::size_t most_answered = 4096;
};

} // namespace daleshelf
