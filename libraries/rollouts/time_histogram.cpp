#include "time_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

constexpr double bins_per_octave = 2;
// The bin of 65 seconds, counted in milliseconds; it takes longer times too.
constexpr int last_bin = 32;

} // namespace

void time_histogram::add(double value)
{
    const auto octaves = std::log2(std::max(1.0, value));
    const auto bin = static_cast<int>(octaves * bins_per_octave);
    m_counts[std::min(bin, last_bin)] += 1;
}

void time_histogram::scale(double factor)
{
    for (auto& [bin, count] : m_counts)
    {
        count *= factor;
    }
}

time_histogram& time_histogram::operator+=(const time_histogram& other)
{
    for (const auto& [bin, count] : other.m_counts)
    {
        m_counts[bin] += count;
    }
    return *this;
}

time_histogram time_histogram::since(const time_histogram& earlier) const
{
    time_histogram added;
    for (const auto& [bin, count] : m_counts)
    {
        const auto previous = earlier.m_counts.find(bin);
        const auto difference =
            count - (previous == earlier.m_counts.end() ? 0 : previous->second);
        if (difference > 0)
        {
            added.m_counts[bin] = difference;
        }
    }
    return added;
}

double time_histogram::total() const
{
    double total = 0;
    for (const auto& [bin, count] : m_counts)
    {
        total += count;
    }
    return total;
}

double time_histogram::above(int bin) const
{
    double sum = 0;
    for (auto at = m_counts.upper_bound(bin); at != m_counts.end(); ++at)
    {
        sum += at->second;
    }
    return sum;
}

int time_histogram::quantile(double fraction) const
{
    const auto allowed = total() * (1 - fraction);
    for (const auto& [bin, count] : m_counts)
    {
        if (above(bin) <= allowed)
        {
            return bin;
        }
    }
    return 0;
}

} // namespace daleshelf
