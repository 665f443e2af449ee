/// @file
/// A line, or plane, through observations that come one by one.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace daleshelf
{

/// Fits y = c0 x0 + c1 x1 + ... by least squares. Old observations fade; one
/// that lies far off counts less the farther it lies (Huber's weights), so that
/// a few servers that stand still do not move the fit. Until enough is seen the
/// prior decides.
/// @tparam Size how many coefficients there are
template <std::size_t Size>
class linear_fit
{
public:
    using vector = std::array<double, Size>;

    /// @param prior coefficients before anything is seen
    /// @param trust how firmly each is held: the sum of squares of its x that
    /// observations need to weigh as much
    /// @param fading what is left of an observation's weight after the next
    /// @param error mean error before anything is seen
    linear_fit(const vector& prior, const vector& trust, double fading,
               double error)
        : m_trust(trust)
        , m_fading(fading)
        , m_coefficients(prior)
        , m_error(error)
    {
        for (std::size_t row = 0; row < Size; ++row)
        {
            m_prior_sum[row] = trust[row] * prior[row];
        }
    }

    /// Takes one observation.
    void add(const vector& x, double y)
    {
        const auto error = std::abs(y - at(x));
        const auto weight = weight_of(error);
        m_count = m_count * m_fading + 1;
        m_error +=
            (std::min(error, m_error * most_errors) - m_error) * newest_part;
        for (std::size_t row = 0; row < Size; ++row)
        {
            for (std::size_t column = 0; column < Size; ++column)
            {
                m_products[row][column] = m_products[row][column] * m_fading +
                                          weight * x[row] * x[column];
            }
            m_sums[row] = m_sums[row] * m_fading + weight * x[row] * y;
        }
        solve();
    }

    /// @return what the fit gives for x
    [[nodiscard]] double at(const vector& x) const
    {
        double sum = 0;
        for (std::size_t index = 0; index < Size; ++index)
        {
            sum += m_coefficients[index] * x[index];
        }
        return sum;
    }

    [[nodiscard]] const vector& coefficients() const
    {
        return m_coefficients;
    }

    /// @return how many observations still count
    [[nodiscard]] double observations() const
    {
        return m_count;
    }

    /// @return mean distance of observations from the fit, in units of y
    [[nodiscard]] double mean_error() const
    {
        return m_error;
    }

private:
    // Errors of more than so many mean errors count less.
    static constexpr double usual_errors = 2;
    // An error counts for no more than so many in the mean, which grows by a
    // seventh at the most with each.
    static constexpr double most_errors = 4;
    // Weight of the newest error in the mean.
    static constexpr double newest_part = 0.05;

    [[nodiscard]] double weight_of(double error) const
    {
        const auto usual = m_error * usual_errors;
        return error <= usual ? 1.0 : usual / error;
    }

    // Gauss's elimination; the trust on the diagonal keeps it well defined.
    void solve()
    {
        auto matrix = m_products;
        vector right;
        for (std::size_t row = 0; row < Size; ++row)
        {
            matrix[row][row] += m_trust[row];
            right[row] = m_sums[row] + m_prior_sum[row];
        }
        for (std::size_t pivot = 0; pivot < Size; ++pivot)
        {
            for (std::size_t row = pivot + 1; row < Size; ++row)
            {
                const auto part = matrix[row][pivot] / matrix[pivot][pivot];
                for (std::size_t column = pivot; column < Size; ++column)
                {
                    matrix[row][column] -= part * matrix[pivot][column];
                }
                right[row] -= part * right[pivot];
            }
        }
        for (std::size_t row = Size; row-- > 0;)
        {
            auto value = right[row];
            for (std::size_t column = row + 1; column < Size; ++column)
            {
                value -= matrix[row][column] * m_coefficients[column];
            }
            m_coefficients[row] = value / matrix[row][row];
        }
    }

    vector m_trust;
    vector m_prior_sum{};
    double m_fading;
    std::array<vector, Size> m_products{};
    vector m_sums{};
    vector m_coefficients;
    double m_count = 0;
    double m_error;
};

} // namespace daleshelf
