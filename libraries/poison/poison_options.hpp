/// @file
/// Parameters of the detection of poison requests.
#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace daleshelf
{

/// How much evidence confirms a request, and for how long it is then rejected.
struct poison_options
{
    /// Evidence that confirms a request, as the natural logarithm of the odds:
    /// one innocent request in 10,000 is rejected.
    double confirmation_odds = 9.2;
    /// Number of crashes that confirm a request even if another one ran at each
    /// of them, so that the two cannot be distinguished.
    std::size_t crash_limit = 3;
    /// Crashes within this time of one another may have a common cause: when a
    /// host or hall is lost, its processes end within about 250 ms.
    absl::Duration correlation_window = absl::Milliseconds(500);
    /// Time after a crash within which the reports of all hosts have arrived:
    /// four gossip rounds of 50 ms.
    absl::Duration settle_time = absl::Milliseconds(250);
    /// Time for which crashes and unconfirmed records are kept; crashes within
    /// it count towards the usual rate of crashes.
    absl::Duration retention = absl::Seconds(60);
    /// Mean time after which an upstream ends for an unrelated reason;
    /// reclaimable hosts stay longer than this.
    absl::Duration mean_time_to_failure = absl::Minutes(10);
    /// Evidence, in logarithmic odds, that one response takes off: a poison
    /// request completes about once in 20 attempts.
    double response_weight = 3;
    /// A confirmed request explains a crash better than another one if its
    /// evidence is stronger by this; of equal ones either may be the cause.
    double explanation_margin = 4;
    /// One request crashes its upstreams at ages that lie within this factor.
    double age_spread = 3;
    /// Delay of the first probe; it doubles with each probe. An upstream and
    /// its cache take about 15 s to recover: probes at this interval cost an
    /// eighth of one upstream.
    absl::Duration first_probe_delay = absl::Minutes(2);
    absl::Duration probe_delay_limit = absl::Hours(1);
    /// Delay before a claimed probe is sent: by then the claim has reached all
    /// hosts.
    absl::Duration claim_delay = absl::Milliseconds(500);
    /// Time after which a probe without an outcome counts as lost.
    absl::Duration probe_timeout = absl::Seconds(30);
    /// Maximum number of records; each takes about 0.3 KB.
    std::size_t record_limit = 1024;
    /// Maximum number of shapes whose responses are kept, of 0.1 KB each: these
    /// are 30 s of 120 requests per second with a different shape each.
    std::size_t shape_limit = 4096;
};

} // namespace daleshelf
