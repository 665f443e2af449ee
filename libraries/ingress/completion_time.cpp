#include "completion_time.hpp"

namespace daleshelf
{

namespace
{

constexpr double mean_weight = 0.125;
constexpr double deviation_weight = 0.25;
constexpr double deviations = 2;

} // namespace

void completion_time::observe(absl::Duration time)
{
    if (!m_mean)
    {
        m_mean = time;
        return;
    }
    const auto error = time - *m_mean;
    m_deviation += deviation_weight * (absl::AbsDuration(error) - m_deviation);
    *m_mean += mean_weight * error;
}

std::optional<absl::Duration> completion_time::upper_estimate() const
{
    return m_mean ? std::optional(*m_mean + deviations * m_deviation)
                  : std::nullopt;
}

} // namespace daleshelf
