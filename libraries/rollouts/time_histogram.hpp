/// @file
/// How many times of each length were seen.
#pragma once

#include <cstdint>
#include <map>

namespace daleshelf
{

/// Counts lengths in half octaves, so that distributions of two versions can be
/// compared, and those of many hosts added.
class time_histogram
{
public:
    using counts = std::map<int, double>;

    /// @param value a length; any unit that is the same for all
    void add(double value);

    /// Adds a number of lengths of one bin.
    void add_bin(int bin, double count)
    {
        m_counts[bin] += count;
    }

    /// Lets what was counted fade.
    void scale(double factor);

    time_histogram& operator+=(const time_histogram& other);

    /// @return what this one has more than an earlier state of it
    [[nodiscard]] time_histogram since(const time_histogram& earlier) const;

    [[nodiscard]] double total() const;

    /// @return how many lie in bins above `bin`
    [[nodiscard]] double above(int bin) const;

    /// @param part 0 to 1
    /// @return the lowest bin with no more than 1 - part of all above it
    [[nodiscard]] int quantile(double part) const;

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
