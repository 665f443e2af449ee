#include "metrics.hpp"

#include <absl/strings/str_cat.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace daleshelf
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.95, 0.99};

std::string series(const std::string& name, const std::string& labels)
{
    return labels.empty() ? name : name + "{" + labels + "}";
}

std::string heading(const std::string& name, const std::string& help,
                    const std::string& type)
{
    return "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type +
           "\n";
}

} // namespace

struct distribution::accumulators
{
    using statistics = acc::stats<acc::tag::count, acc::tag::sum,
                                  acc::tag::extended_p_square_quantile>;

    acc::accumulator_set<double, statistics> set{
        acc::extended_p_square_probabilities = quantiles};
};

distribution::distribution() : m_accumulators(std::make_unique<accumulators>())
{
}

distribution::~distribution() = default;

void distribution::observe(double value)
{
    absl::MutexLock lock(&m_mutex);
    m_accumulators->set(value);
}

std::string distribution::render(const std::string& name,
                                 const std::string& labels) const
{
    absl::MutexLock lock(&m_mutex);
    const auto& set = m_accumulators->set;
    std::string text;
    const std::string prefix = labels.empty() ? "" : labels + ",";
    for (const auto probability : quantiles)
    {
        const double value =
            acc::count(set) == 0
                ? 0
                : acc::quantile(set, acc::quantile_probability = probability);
        absl::StrAppend(&text, name, "{", prefix, "quantile=\"", probability,
                        "\"} ", value, "\n");
    }
    absl::StrAppend(&text, series(name + "_sum", labels), " ", acc::sum(set),
                    "\n");
    absl::StrAppend(&text, series(name + "_count", labels), " ",
                    acc::count(set), "\n");
    return text;
}

template <typename Metric>
Metric& metric_registry::find(families<Metric>& all, const std::string& name,
                              const std::string& help,
                              const std::string& labels)
{
    auto& entry = all[name];
    entry.help = help;
    auto& metric = entry.by_labels[labels];
    if (!metric)
    {
        metric = std::make_unique<Metric>();
    }
    return *metric;
}

counter& metric_registry::find_counter(const std::string& name,
                                       const std::string& help,
                                       const std::string& labels)
{
    absl::MutexLock lock(&m_mutex);
    return find(m_counters, name, help, labels);
}

gauge& metric_registry::find_gauge(const std::string& name,
                                   const std::string& help,
                                   const std::string& labels)
{
    absl::MutexLock lock(&m_mutex);
    return find(m_gauges, name, help, labels);
}

distribution& metric_registry::find_distribution(const std::string& name,
                                                 const std::string& help,
                                                 const std::string& labels)
{
    absl::MutexLock lock(&m_mutex);
    return find(m_distributions, name, help, labels);
}

std::string metric_registry::render() const
{
    absl::MutexLock lock(&m_mutex);
    std::string text;
    for (const auto& [name, entry] : m_counters)
    {
        text += heading(name, entry.help, "counter");
        for (const auto& [labels, metric] : entry.by_labels)
        {
            absl::StrAppend(&text, series(name, labels), " ", metric->value(),
                            "\n");
        }
    }
    for (const auto& [name, entry] : m_gauges)
    {
        text += heading(name, entry.help, "gauge");
        for (const auto& [labels, metric] : entry.by_labels)
        {
            absl::StrAppend(&text, series(name, labels), " ", metric->value(),
                            "\n");
        }
    }
    for (const auto& [name, entry] : m_distributions)
    {
        text += heading(name, entry.help, "summary");
        for (const auto& [labels, metric] : entry.by_labels)
        {
            text += metric->render(name, labels);
        }
    }
    return text;
}

} // namespace daleshelf
