#include "poison_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

// Lower bound of the probability that an upstream crashed for another reason.
constexpr double probability_floor = 1e-4;
// A crash is detected after a connection attempt and a wake-up.
constexpr absl::Duration detection_delay = absl::Milliseconds(100);

} // namespace

void poison_evidence::add_crash(const server_incarnation& incarnation,
                                absl::Time at)
{
    const auto [place, is_new] = m_crashes.try_emplace(incarnation, at);
    place->second = std::min(place->second, at);
}

void poison_evidence::expire_before(absl::Time oldest)
{
    std::erase_if(m_crashes,
                  [&](const auto& crash) { return crash.second < oldest; });
}

// Caches the crashes that confirmed requests explain: weighing looks them up
// for every crash.
void poison_evidence::set_confirmed_records(
    std::vector<poison_record> confirmed)
{
    m_confirmed = std::move(confirmed);
    m_explained.clear();
    for (const auto& record : m_confirmed)
    {
        for (const auto& [incarnation, crash] : record.crashes)
        {
            m_explained.insert(incarnation);
        }
    }
    m_cover.set_confirmed(m_confirmed);
}

crash_attribution poison_evidence::weigh(const poison_record& record,
                                         std::size_t servers) const
{
    crash_attribution attribution;
    attribution.crash_weight = crash_weight_of(record, servers);
    for (const auto& [incarnation, crash] : record.crashes)
    {
        if (is_explained_better(incarnation, record, attribution.crash_weight,
                                servers))
        {
            continue;
        }
        ++attribution.unexplained_crashes;
        attribution.weight -=
            std::log(coincidence_probability_of(record, crash, servers));
    }
    attribution.weight -= static_cast<double>(record.responses.size()) *
                          m_options.response_weight;
    return attribution;
}

bool poison_evidence::covers_all_crashes(const poison_record& record) const
{
    const auto last = record.last_crash() + m_options.correlation_window;
    return std::all_of(m_crashes.begin(), m_crashes.end(),
                       [&](const auto& crash)
                       {
                           return crash.second > last ||
                                  record.crashes.contains(crash.first) ||
                                  is_explained(crash.first);
                       });
}

bool poison_evidence::is_explained(const server_incarnation& incarnation) const
{
    return m_explained.contains(incarnation);
}

// Two poison requests in flight at the same time share crashes: the first to be
// confirmed must not clear the other.
bool poison_evidence::is_explained_better(const server_incarnation& incarnation,
                                          const poison_record& record,
                                          double crash_weight,
                                          std::size_t servers) const
{
    return !record.is_confirmed &&
           std::any_of(
               m_confirmed.begin(), m_confirmed.end(),
               [&](const auto& other)
               {
                   return other.crashes.contains(incarnation) &&
                          (other.responses.size() < record.responses.size() ||
                           crash_weight_of(other, servers) >=
                               crash_weight + m_options.explanation_margin);
               });
}

// The log-likelihood ratio over all crashes, explained or not.
double poison_evidence::crash_weight_of(const poison_record& record,
                                        std::size_t servers) const
{
    double crash_weight = 0;
    for (const auto& [incarnation, crash] : record.crashes)
    {
        crash_weight -=
            std::log(coincidence_probability_of(record, crash, servers));
    }
    return crash_weight;
}

// The probability that the upstream crashed while it ran the request, if the
// request was not the cause.
double poison_evidence::coincidence_probability_of(const poison_record& record,
                                                   const server_crash& crash,
                                                   std::size_t servers) const
{
    const auto count = static_cast<double>(std::max<std::size_t>(servers, 1));
    double simultaneous = 0;
    double recent = 0;
    for (const auto& [incarnation, at] : m_crashes)
    {
        if (record.crashes.contains(incarnation) || is_explained(incarnation))
        {
            continue;
        }
        simultaneous +=
            absl::AbsDuration(at - crash.at) <= m_options.correlation_window
                ? 1
                : 0;
        recent +=
            absl::AbsDuration(at - crash.at) <= m_options.retention ? 1 : 0;
    }
    const auto retention_s = absl::ToDoubleSeconds(m_options.retention);
    const auto rate =
        1 / absl::ToDoubleSeconds(m_options.mean_time_to_failure) +
        recent / (retention_s * count);
    const auto by_rate =
        rate * absl::ToDoubleSeconds(crash.request_age + detection_delay);
    return std::clamp(std::max(by_rate, simultaneous / count),
                      probability_floor, 1.0);
}

} // namespace daleshelf
