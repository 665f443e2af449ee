/// @file
/// A histogram of durations.
#pragma once

#include <cstdint>
#include <map>

namespace daleshelf
{

/// Counts durations in logarithmic bins, two per doubling, so that the
/// distributions of two versions can be compared and those of several hosts
/// added.
class time_histogram
{
public:
    using counts = std::map<int, double>;

    /// Counts one value.
    /// @param value a duration, in a unit that is the same for all values;
    /// values below 1 are counted as 1
    void add(double value);

    /// Adds `count` values to one bin.
    void add_bin(int bin, double count)
    {
        m_counts[bin] += count;
    }

    /// Multiplies all counts by a factor, for exponential decay.
    void scale(double factor);

    time_histogram& operator+=(const time_histogram& other);

    /// @param earlier a previous state of this histogram
    /// @return the counts added since then
    [[nodiscard]] time_histogram since(const time_histogram& earlier) const;

    /// @return the sum of all counts
    [[nodiscard]] double total() const;

    /// @return the count in bins above `bin`
    [[nodiscard]] double above(int bin) const;

    /// @param fraction 0 to 1
    /// @return the lowest bin with at most 1 - `fraction` of all values above
    /// it
    [[nodiscard]] int quantile(double fraction) const;

    /// @return the count of each bin that is not empty
    [[nodiscard]] const counts& bins() const
    {
        return m_counts;
    }

    friend bool operator==(const time_histogram&,
                           const time_histogram&) = default;

private:
    counts m_counts;
};

} // namespace daleshelf
