/// @file
/// Recursive robust least-squares fit.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace daleshelf
{

/// Fits y = c0 x0 + c1 x1 + ... by least squares with exponential decay.
/// Outliers get Huber weights, so that a few stalled upstreams do not move the
/// fit. The prior dominates until there are enough observations.
/// @tparam Size number of coefficients
template <std::size_t Size>
class linear_fit
{
public:
    using vector = std::array<double, Size>;

    /// @param prior coefficients before the first observation
    /// @param prior_weight weight of each prior coefficient, as the sum of
    /// squares of its x over observations of equal weight
    /// @param decay factor applied to all weights by each new observation
    /// @param error mean error before the first observation, in units of y
    linear_fit(const vector& prior, const vector& prior_weight, double decay,
               double error)
        : m_prior_weight(prior_weight)
        , m_decay(decay)
        , m_coefficients(prior)
        , m_error(error)
    {
        for (std::size_t row = 0; row < Size; ++row)
        {
            m_prior_sum[row] = prior_weight[row] * prior[row];
        }
    }

    /// Adds one observation.
    void add(const vector& x, double y)
    {
        const auto error = std::abs(y - predict(x));
        const auto weight = huber_weight(error);
        m_count = m_count * m_decay + 1;
        m_error +=
            (std::min(error, m_error * error_cap) - m_error) * error_smoothing;
        for (std::size_t row = 0; row < Size; ++row)
        {
            for (std::size_t column = 0; column < Size; ++column)
            {
                m_products[row][column] = m_products[row][column] * m_decay +
                                          weight * x[row] * x[column];
            }
            m_sums[row] = m_sums[row] * m_decay + weight * x[row] * y;
        }
        solve();
    }

    /// @return the fitted value at x
    [[nodiscard]] double predict(const vector& x) const
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

    /// @return the decayed number of observations
    [[nodiscard]] double observations() const
    {
        return m_count;
    }

    /// @return smoothed mean absolute error of the fit, in units of y
    [[nodiscard]] double mean_error() const
    {
        return m_error;
    }

private:
    // Errors beyond this multiple of the mean error have a reduced weight.
    static constexpr double huber_threshold = 2;
    // Each error enters the mean capped at this multiple of it, so that one
    // observation raises the mean by at most a seventh.
    static constexpr double error_cap = 4;
    // Weight of the newest error in the exponential moving average.
    static constexpr double error_smoothing = 0.05;

    [[nodiscard]] double huber_weight(double error) const
    {
        const auto threshold = m_error * huber_threshold;
        return error <= threshold ? 1.0 : threshold / error;
    }

    // Gaussian elimination; the prior weights on the diagonal keep the matrix
    // regular.
    void solve()
    {
        auto matrix = m_products;
        vector right;
        for (std::size_t row = 0; row < Size; ++row)
        {
            matrix[row][row] += m_prior_weight[row];
            right[row] = m_sums[row] + m_prior_sum[row];
        }
        for (std::size_t pivot = 0; pivot < Size; ++pivot)
        {
            for (std::size_t row = pivot + 1; row < Size; ++row)
            {
                const auto factor = matrix[row][pivot] / matrix[pivot][pivot];
                for (std::size_t column = pivot; column < Size; ++column)
                {
                    matrix[row][column] -= factor * matrix[pivot][column];
                }
                right[row] -= factor * right[pivot];
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

    vector m_prior_weight;
    vector m_prior_sum{};
    double m_decay;
    std::array<vector, Size> m_products{};
    vector m_sums{};
    vector m_coefficients;
    double m_count = 0;
    double m_error;
};

} // namespace daleshelf
