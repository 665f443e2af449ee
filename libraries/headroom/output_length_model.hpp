/// @file
/// Learns how many tokens responses have.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace daleshelf
{

/// Expected number of output tokens of a request.
struct length_estimate
{
    double expected = 0; ///< mean, at least 1
    double upper = 0;    ///< exceeded by one request in ten; at least 1
    double weight = 0;   ///< decayed number of observations behind it
};

/// Learns the distribution of output tokens of each route, and the error of the
/// clients' hints. Does no I/O. See docs/hard-load.md, part 2.
class output_length_model
{
public:
    /// What is known of a request before it is answered.
    struct request_length
    {
        std::string route;
        std::optional<std::int64_t> hint; ///< the client's estimate, in tokens
        std::int64_t max_output_tokens = 0; ///< 0: not stated
    };

    /// Maximum number of routes with a distribution of their own; further ones
    /// share one.
    static constexpr std::size_t route_limit = 256;

    /// Records a response that was completed.
    void observe(const request_length& request, std::int64_t output_tokens);

    /// Maximum of an estimate: more than the context of any engine. A client
    /// may state any hint and no maximum.
    static constexpr double max_tokens = 1 << 24;

    /// @return the estimate; never more than the client allows
    [[nodiscard]] length_estimate estimate(const request_length& request) const;

private:
    /// Decayed mean and variance of a logarithm.
    struct log_distribution
    {
        double mean = 0;
        double variance = 0;
        double weight = 0;

        void add(double value);
    };

    struct route_lengths
    {
        log_distribution lengths;     ///< of output tokens
        log_distribution hint_errors; ///< of output tokens by the hint
    };

    route_lengths& lengths_of(const std::string& route);
    [[nodiscard]] const route_lengths*
    find_lengths(const std::string& route) const;

    std::map<std::string, route_lengths> m_routes;
    route_lengths m_other_routes;
};

} // namespace daleshelf
