#include "output_length_model.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

// Corresponds to a window of 200 observations.
constexpr double decay = 0.995;
// Weight of the prior, in observations.
constexpr double prior_weight = 4;
// Before any response is known: half of the tokens that the client allows, or
// this many, with a deviation of a factor of two.
constexpr double prior_fraction = 0.5;
constexpr double prior_tokens = 256;
const double prior_deviation = std::log(2.0);
// Hints are not checked by anybody. The lengths of responses differ by less
// than this factor, so an error beyond it says no more about other hints.
const double max_hint_error = std::log(1000.0);
// Upper decile of a normal distribution, in standard deviations.
constexpr double upper_decile = 1.2816;

} // namespace

void output_length_model::log_distribution::add(double value)
{
    weight = weight * decay + 1;
    const auto step = (value - mean) / weight;
    const auto before = value - mean;
    mean += step;
    variance += (before * (value - mean) - variance) / weight;
}

void output_length_model::observe(const request_length& request,
                                  std::int64_t output_tokens)
{
    if (output_tokens <= 0)
    {
        return;
    }
    auto& known = lengths_of(request.route);
    const auto length = std::log(static_cast<double>(output_tokens));
    known.lengths.add(length);
    if (request.hint && *request.hint > 0)
    {
        const auto error =
            length - std::log(static_cast<double>(*request.hint));
        known.hint_errors.add(
            std::clamp(error, -max_hint_error, max_hint_error));
    }
}

length_estimate
output_length_model::estimate(const request_length& request) const
{
    const auto limit = static_cast<double>(request.max_output_tokens);
    const auto* known = find_lengths(request.route);
    const bool has_hint = request.hint && *request.hint > 0;
    // 1. The prior: the hint is right at the median.
    auto median = std::log(has_hint    ? static_cast<double>(*request.hint)
                           : limit > 0 ? limit * prior_fraction
                                       : prior_tokens);
    auto variance = prior_deviation * prior_deviation;
    // 2. The route's responses, or the errors of their hints.
    length_estimate estimate;
    if (known != nullptr)
    {
        const auto& learned = has_hint ? known->hint_errors : known->lengths;
        estimate.weight = learned.weight;
        const auto part = learned.weight / (learned.weight + prior_weight);
        const auto learned_median =
            has_hint ? median + learned.mean : learned.mean;
        median += part * (learned_median - median);
        variance += part * (learned.variance - variance);
    }
    // 3. Mean and decile of a log-normal distribution.
    estimate.expected = std::exp(median + variance / 2);
    estimate.upper = std::exp(median + upper_decile * std::sqrt(variance));
    const auto most = limit > 0 ? std::min(limit, max_tokens) : max_tokens;
    estimate.expected = std::clamp(estimate.expected, 1.0, most);
    estimate.upper = std::clamp(estimate.upper, 1.0, most);
    return estimate;
}

output_length_model::route_lengths&
output_length_model::lengths_of(const std::string& route)
{
    const auto known = m_routes.find(route);
    if (known != m_routes.end())
    {
        return known->second;
    }
    return m_routes.size() < route_limit ? m_routes[route] : m_other_routes;
}

const output_length_model::route_lengths*
output_length_model::find_lengths(const std::string& route) const
{
    const auto known = m_routes.find(route);
    if (known != m_routes.end())
    {
        return &known->second;
    }
    return m_other_routes.lengths.weight > 0 ? &m_other_routes : nullptr;
}

} // namespace daleshelf
