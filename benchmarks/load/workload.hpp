/// @file
/// The two users' mixes of requests.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace daleshelf::benchmark
{

/// One request and when it is sent.
struct planned_request
{
    absl::Duration at; ///< from the start of the run
    std::string workspace;
    std::string prompt;
    int max_tokens = 16;
    std::string priority = "normal";
    bool is_service_call = false;
    std::string path; ///< of a service call
};

/// Share and shape of one kind of request.
struct request_kind
{
    double share = 0;
    int shared_tokens = 0; ///< prompt tokens that others have, too
    int own_tokens = 0;    ///< prompt tokens of this request alone
    int max_tokens = 0;
    std::string priority = "normal";
    bool is_service_call = false;
};

/// What a user sends.
struct workload
{
    std::string name;
    std::vector<request_kind> kinds;
    std::vector<double> workspace_shares;
    int documents_per_workspace = 6; ///< guidelines or manifests shared
};

/// @return CAMAV's mix: critiques, rewrites, live suggestions, previews
[[nodiscard]] workload camav_workload();

/// @return Brenta's mix: reviews, changelogs, quick questions, index reads
[[nodiscard]] workload brenta_workload();

/// Plans a run; equal seeds give equal plans.
/// @param mix what is sent
/// @param rate requests a second, Poisson arrivals
/// @param length of the run
/// @param seed of all choices
[[nodiscard]] std::vector<planned_request> plan_requests(const workload& mix,
                                                         double rate,
                                                         absl::Duration length,
                                                         std::uint64_t seed);

} // namespace daleshelf::benchmark
