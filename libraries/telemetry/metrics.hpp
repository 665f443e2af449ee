/// @file
/// Counters, gauges and distributions, rendered in the Prometheus text format.
#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace daleshelf
{

/// A monotonically increasing number.
class counter
{
public:
    void add(std::int64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    [[nodiscard]] std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value = 0;
};

/// A number that may increase and decrease.
class gauge
{
public:
    void set(double value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    [[nodiscard]] double value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> m_value = 0;
};

/// Count, sum and estimated quantiles of observed values, based on
/// Boost.Accumulators.
class distribution
{
public:
    distribution();
    distribution(const distribution&) = delete;
    distribution& operator=(const distribution&) = delete;
    ~distribution();

    /// @param value one observation
    void observe(double value);

    /// @param name full name of the metric
    /// @param labels labels of the metric, without braces
    /// @return the lines of a Prometheus summary
    [[nodiscard]] std::string render(const std::string& name,
                                     const std::string& labels) const;

private:
    struct accumulators;

    mutable absl::Mutex m_mutex;
    std::unique_ptr<accumulators> m_accumulators ABSL_GUARDED_BY(m_mutex);
};

/// All metrics of a process. A metric is created at its first use and exists as
/// long as the registry, so references to it stay valid.
class metric_registry
{
public:
    /// @param name full name, ending in the unit
    /// @param help one-line description
    /// @param labels `name="value"` pairs, separated by commas
    /// @return the metric, created if it does not exist
    [[nodiscard]] counter& find_counter(const std::string& name,
                                        const std::string& help,
                                        const std::string& labels = "");
    [[nodiscard]] gauge& find_gauge(const std::string& name,
                                    const std::string& help,
                                    const std::string& labels = "");
    [[nodiscard]] distribution&
    find_distribution(const std::string& name, const std::string& help,
                      const std::string& labels = "");

    /// @return all metrics in the Prometheus text format
    [[nodiscard]] std::string render() const;

private:
    template <typename Metric>
    struct family
    {
        std::string help;
        std::map<std::string, std::unique_ptr<Metric>> by_labels;
    };

    template <typename Metric>
    using families = std::map<std::string, family<Metric>>;

    template <typename Metric>
    static Metric& find(families<Metric>& all, const std::string& name,
                        const std::string& help, const std::string& labels);

    mutable absl::Mutex m_mutex;
    families<counter> m_counters ABSL_GUARDED_BY(m_mutex);
    families<gauge> m_gauges ABSL_GUARDED_BY(m_mutex);
    families<distribution> m_distributions ABSL_GUARDED_BY(m_mutex);
};

} // namespace daleshelf
