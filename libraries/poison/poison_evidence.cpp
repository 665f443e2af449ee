#include "poison_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

// Lower bound of the probability that a server crashed for an unrelated reason.
constexpr double least_chance = 1e-4;
// A connection and a wake-up lie between a request's end and its note.
constexpr absl::Duration note_time = absl::Milliseconds(100);

} // namespace

void poison_evidence::note(const server_life& life, absl::Time at)
{
    const auto [place, is_new] = m_ends.try_emplace(life, at);
    place->second = std::min(place->second, at);
}

void poison_evidence::forget_before(absl::Time oldest)
{
    std::erase_if(m_ends, [&](const auto& end) { return end.second < oldest; });
}

// Caches the ends that confirmed requests explain: weighing looks them up for
// every end.
void poison_evidence::set_proved(std::vector<poison_record> proved)
{
    m_proved = std::move(proved);
    m_explained.clear();
    for (const auto& record : m_proved)
    {
        for (const auto& [life, end] : record.ends)
        {
            m_explained.insert(life);
        }
    }
    m_cover.set_confirmed(m_proved);
}

blame poison_evidence::weigh(const poison_record& record,
                             std::size_t servers) const
{
    blame found;
    found.strength = strength_of(record, servers);
    for (const auto& [life, end] : record.ends)
    {
        if (is_explained_better(life, record, found.strength, servers))
        {
            continue;
        }
        ++found.ends;
        found.weight -= std::log(chance_of(record, end, servers));
    }
    found.weight -=
        static_cast<double>(record.whole.size()) * m_options.answered_odds;
    return found;
}

bool poison_evidence::are_all_ends(const poison_record& record) const
{
    const auto last = record.last_end() + m_options.storm;
    return std::all_of(m_ends.begin(), m_ends.end(),
                       [&](const auto& end)
                       {
                           return end.second > last ||
                                  record.ends.contains(end.first) ||
                                  is_explained(end.first);
                       });
}

bool poison_evidence::is_explained(const server_life& life) const
{
    return m_explained.contains(life);
}

// Two that end servers at the same time are at ends of one another: the first
// to be proved must not clear the other.
bool poison_evidence::is_explained_better(const server_life& life,
                                          const poison_record& record,
                                          double strength,
                                          std::size_t servers) const
{
    return !record.is_proved &&
           std::any_of(m_proved.begin(), m_proved.end(),
                       [&](const auto& other)
                       {
                           return other.ends.contains(life) &&
                                  (other.whole.size() < record.whole.size() ||
                                   strength_of(other, servers) >=
                                       strength + m_options.stronger_by);
                       });
}

// The log-likelihood ratio over all ends, explained or not.
double poison_evidence::strength_of(const poison_record& record,
                                    std::size_t servers) const
{
    double strength = 0;
    for (const auto& [life, end] : record.ends)
    {
        strength -= std::log(chance_of(record, end, servers));
    }
    return strength;
}

// How likely it is that the server ended while the request was there, if that
// has nothing to do with it.
double poison_evidence::chance_of(const poison_record& record,
                                  const server_end& end,
                                  std::size_t servers) const
{
    const auto count = static_cast<double>(std::max<std::size_t>(servers, 1));
    double at_once = 0;
    double lately = 0;
    for (const auto& [life, at] : m_ends)
    {
        if (record.ends.contains(life) || is_explained(life))
        {
            continue;
        }
        at_once += absl::AbsDuration(at - end.at) <= m_options.storm ? 1 : 0;
        lately += absl::AbsDuration(at - end.at) <= m_options.memory ? 1 : 0;
    }
    const auto memory_s = absl::ToDoubleSeconds(m_options.memory);
    const auto rate = 1 / absl::ToDoubleSeconds(m_options.usual_life) +
                      lately / (memory_s * count);
    const auto by_rate = rate * absl::ToDoubleSeconds(end.ran + note_time);
    return std::clamp(std::max(by_rate, at_once / count), least_chance, 1.0);
}

} // namespace daleshelf
