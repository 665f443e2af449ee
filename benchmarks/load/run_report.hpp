/// @file
/// Figures of a run.
#pragma once

#include "load_driver.hpp"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace daleshelf::benchmark
{

/// Targets of the users.
struct latency_target
{
    double first_token_ms = 520;
    double between_tokens_ms = 62;
};

/// @param values any values
/// @param part a quantile, 0 to 1
/// @return the value at that quantile; 0 if there are none
[[nodiscard]] double quantile(std::vector<double> values, double part);

/// @return whether a request was answered within the target: its first token
///         in time, and 95 in 100 of its gaps
[[nodiscard]] bool is_in_target(const request_sample& sample,
                                const latency_target& target);

/// @param samples all requests of a run
/// @param target what counts as in time
/// @return counts and quantiles
[[nodiscard]] boost::json::object
summarize(const std::vector<request_sample>& samples,
          const latency_target& target);

/// A block that an engine computed.
struct computed_block
{
    std::int64_t time_us = 0;
    std::uint64_t block = 0;
    std::string attempt;
};

/// Counts tokens whose keys and values had been computed before, by any
/// engine, and were computed again: since the request moved (a later attempt
/// of the same request) or since the cache that had them was not used.
/// @param blocks computed blocks of all engines
[[nodiscard]] boost::json::object
count_recomputed(std::vector<computed_block> blocks);

} // namespace daleshelf::benchmark
