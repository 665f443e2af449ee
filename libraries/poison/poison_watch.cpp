#include "poison_watch.hpp"

#include <algorithm>
#include <cmath>

namespace daleshelf
{

namespace
{

// No end is taken for less likely by chance: what is not known of a server's
// life may be worth that much.
constexpr double least_chance = 1e-4;
// A connection and a wake-up lie between a request's end and its note.
constexpr absl::Duration note_time = absl::Milliseconds(100);
// What is old is looked for as often as that, of seconds that it is kept.
constexpr absl::Duration forget_pause = absl::Milliseconds(200);
// Of one request: more say nothing new.
constexpr std::size_t most_lives = 16;

} // namespace

absl::Time poison_record::last_end() const
{
    auto last = absl::InfinitePast();
    for (const auto& [life, end] : ends)
    {
        last = std::max(last, end.at);
    }
    return last;
}

void poison_watch::note_end(const suspect_request& request,
                            const server_life& life, absl::Duration ran,
                            absl::Time now)
{
    forget_old(now);
    note_global_end(life, now);
    auto& record = open(request, now);
    record.noted_at = now;
    if (const auto answered =
            m_answered.find(request.shape, now - m_options.memory))
    {
        record.whole.insert(*answered);
    }
    const bool is_news =
        record.ends.size() < most_lives &&
        record.ends.try_emplace(life, server_end{now, ran}).second;
    if (is_news)
    {
        tell(record, now);
    }
}

bool poison_watch::note_whole(const request_print& print,
                              const whole_answer& given, absl::Time now)
{
    const auto found = m_records.find(print);
    if (found == m_records.end())
    {
        return false;
    }
    auto& record = found->second;
    if (record.is_proved)
    {
        // It was tried again, and is well: a new version, or an innocent one.
        ++record.epoch;
        record.ends.clear();
        record.whole.clear();
        record.is_proved = false;
        record.trial = {};
        tell(record, now);
        return true;
    }
    if (record.whole.size() < most_lives && record.whole.insert(given).second)
    {
        tell(record, now);
    }
    return false;
}

bool poison_watch::merge(const poison_record& told, absl::Time now)
{
    forget_old(now);
    for (const auto& [life, end] : told.ends)
    {
        note_global_end(life, end.at);
    }
    auto& record = open({told.print, told.shape, told.service}, now);
    if (told.epoch < record.epoch)
    {
        return false;
    }
    bool is_news = false;
    if (told.epoch > record.epoch)
    {
        // Its shape is counted: what was told of it does not change that.
        const auto shape = record.shape;
        record = told;
        record.shape = shape;
        record.changed_at = now;
        is_news = true;
    }
    for (const auto& [life, end] : told.ends)
    {
        is_news = (record.ends.size() < most_lives &&
                   record.ends.try_emplace(life, end).second) ||
                  is_news;
    }
    for (const auto& given : told.whole)
    {
        is_news = (record.whole.size() < most_lives &&
                   record.whole.insert(given).second) ||
                  is_news;
    }
    if (told.is_proved && !record.is_proved)
    {
        record.is_proved = true;
        is_news = true;
    }
    const bool is_first_claim = told.trial.number > record.trial.number ||
                                (told.trial.number == record.trial.number &&
                                 told.trial.host < record.trial.host);
    if (is_first_claim)
    {
        record.trial = told.trial;
        is_news = true;
    }
    if (is_news)
    {
        tell(record, now);
    }
    return is_news;
}

suspicion poison_watch::judge(const request_print& print, std::size_t servers,
                              absl::Time now)
{
    forget_old(now);
    const auto found = m_records.find(print);
    if (found == m_records.end() || found->second.ends.empty())
    {
        return suspicion::none;
    }
    auto& record = found->second;
    if (record.is_proved)
    {
        return suspicion::proved;
    }
    if (is_certain(settled_part(record, now), servers))
    {
        record.is_proved = true;
        tell(record, now);
        return suspicion::proved;
    }
    return suspicion::suspect;
}

bool poison_watch::goes_alone(const request_print& print, std::size_t servers,
                              absl::Time now) const
{
    const auto* record = find(print);
    if (record == nullptr)
    {
        return false;
    }
    const auto seen = settled_part(*record, now);
    return came_twice(seen) && seen.whole.empty() &&
           weight(seen, servers) >= m_options.proof / 2;
}

bool poison_watch::must_wait(const request_print& print, std::size_t servers,
                             absl::Time now) const
{
    const auto* record = find(print);
    return record != nullptr && came_twice(*record) && record->whole.empty() &&
           record->ends.size() >= m_options.most_ends &&
           settled_part(*record, now).ends.size() < record->ends.size() &&
           weight(*record, servers) >= m_options.proof / 3;
}

// The ends of whose time it is known what other hosts saw: until then one
// server of many that ended at once looks like one that ended alone.
poison_record poison_watch::settled_part(const poison_record& record,
                                         absl::Time now) const
{
    auto seen = record;
    std::erase_if(seen.ends, [&](const auto& end)
                  { return now - end.second.at < m_options.settle; });
    return seen;
}

// What servers answer as often as not ends none of them. Of one that was never
// answered less evidence is enough: three ends at different moments would be
// that unlikely for it alone.
bool poison_watch::is_certain(const poison_record& seen,
                              std::size_t servers) const
{
    const bool is_enough =
        seen.whole.empty() && seen.ends.size() >= m_options.most_ends;
    const bool came_at_once = !came_twice(seen);
    if (seen.whole.size() >= seen.ends.size() ||
        (came_at_once && !(is_enough && are_all_ends(seen))))
    {
        return false;
    }
    const auto needed = is_enough ? m_options.proof / 3 : m_options.proof;
    return weight(seen, servers) >= needed && is_told_from_others(seen);
}

// Whether its ends came at more than one moment: what is asked for all the time
// is at many of the servers that end in one storm.
bool poison_watch::came_twice(const poison_record& record) const
{
    auto first = absl::InfiniteFuture();
    for (const auto& [life, end] : record.ends)
    {
        first = std::min(first, end.at);
    }
    return record.last_end() - first > m_options.storm;
}

// Two ends tell it only where nothing else ends servers, and nothing else was
// at both; three do, also beside another one.
bool poison_watch::is_told_from_others(const poison_record& record) const
{
    if (record.ends.size() >= m_options.most_ends)
    {
        return true;
    }
    return record.ends.size() >= 2 && are_all_ends(record) &&
           !has_rival(record);
}

// Whether no other server has ended lately that nothing proved explains.
bool poison_watch::are_all_ends(const poison_record& record) const
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

double poison_watch::weight(const poison_record& record,
                            std::size_t servers) const
{
    double weight = 0;
    for (const auto& [life, end] : record.ends)
    {
        const bool is_of_other = !record.is_proved && is_explained(life);
        weight -= is_of_other ? 0 : std::log(chance_of(record, end, servers));
    }
    return weight -
           static_cast<double>(record.whole.size()) * m_options.answered_odds;
}

// Whether a request that is proved was there.
bool poison_watch::is_explained(const server_life& life) const
{
    return m_explained.contains(life);
}

// Kept, not looked for each time: in a storm each of hundreds of records is
// judged by each of as many ends.
void poison_watch::explain_ends()
{
    m_explained.clear();
    for (const auto& [print, record] : m_records)
    {
        if (!record.is_proved)
        {
            continue;
        }
        for (const auto& [life, end] : record.ends)
        {
            m_explained.insert(life);
        }
    }
}

// How likely it is that the server ended while the request was there, if that
// has nothing to do with it.
double poison_watch::chance_of(const poison_record& record,
                               const server_end& end, std::size_t servers) const
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

// Whether another request was there at each of the ends, and was never
// answered: it may be to blame as well.
bool poison_watch::has_rival(const poison_record& record) const
{
    return std::any_of(
        m_records.begin(), m_records.end(),
        [&](const auto& entry)
        {
            const auto& other = entry.second;
            return other.print != record.print && other.whole.empty() &&
                   std::all_of(record.ends.begin(), record.ends.end(),
                               [&](const auto& end)
                               { return other.ends.contains(end.first); });
        });
}

absl::Duration poison_watch::wait_of(const poison_record& record) const
{
    auto wait = m_options.first_trial;
    for (std::int64_t trial = 0;
         trial < record.trial.number && wait < m_options.longest_trial; ++trial)
    {
        wait *= 2;
    }
    return std::min(wait, m_options.longest_trial);
}

absl::Duration poison_watch::time_to_trial(const request_print& print,
                                           absl::Time now) const
{
    const auto found = m_records.find(print);
    if (found == m_records.end())
    {
        return absl::ZeroDuration();
    }
    const auto& record = found->second;
    const auto since = std::max(record.last_end(), record.trial.claimed_at);
    return std::max(absl::ZeroDuration(), since + wait_of(record) - now);
}

bool poison_watch::is_trial_open(const poison_record& record,
                                 absl::Time now) const
{
    return record.trial.number > 0 &&
           record.last_end() < record.trial.claimed_at &&
           now - record.trial.claimed_at < m_options.trial_time;
}

bool poison_watch::may_try(const request_print& print, const host_id& self,
                           absl::Time now)
{
    const auto found = m_records.find(print);
    if (found == m_records.end())
    {
        return true;
    }
    auto& record = found->second;
    if (is_trial_open(record, now))
    {
        const auto since = now - record.trial.claimed_at;
        const bool is_own = record.trial.host == self &&
                            since >= m_options.claim_time &&
                            m_used_trial != record.trial.number;
        if (is_own)
        {
            m_used_trial = record.trial.number;
        }
        return is_own;
    }
    if (time_to_trial(print, now) <= absl::ZeroDuration())
    {
        record.trial = {record.trial.number + 1, self, now};
        m_used_trial.reset();
        tell(record, now);
    }
    return false;
}

std::vector<poison_record> poison_watch::take_news(std::size_t most)
{
    std::vector<poison_record> news;
    while (!m_news.empty() && news.size() < most)
    {
        const auto found = m_records.find(m_news.front());
        m_news.pop_front();
        if (found != m_records.end())
        {
            news.push_back(found->second);
        }
    }
    return news;
}

const poison_record* poison_watch::find(const request_print& print) const
{
    const auto found = m_records.find(print);
    return found == m_records.end() ? nullptr : &found->second;
}

std::vector<poison_record> poison_watch::newest(std::size_t most) const
{
    std::vector<poison_record> newest;
    for (const auto& [print, record] : m_records)
    {
        newest.push_back(record);
    }
    std::sort(newest.begin(), newest.end(),
              [](const auto& left, const auto& right)
              { return left.changed_at > right.changed_at; });
    newest.resize(std::min(newest.size(), most));
    return newest;
}

std::vector<poison_record> poison_watch::proved() const
{
    std::vector<poison_record> proved;
    for (const auto& [print, record] : m_records)
    {
        if (record.is_proved)
        {
            proved.push_back(record);
        }
    }
    return proved;
}

poison_record& poison_watch::open(const suspect_request& request,
                                  absl::Time now)
{
    const auto known = m_records.find(request.print);
    if (known != m_records.end())
    {
        return known->second;
    }
    make_room();
    auto& record = m_records[request.print];
    record.print = request.print;
    record.shape = request.shape;
    record.service = request.service;
    record.changed_at = now;
    ++m_shapes[request.shape];
    return record;
}

// What is proved goes last: nobody makes the fleet forget it by ending servers
// with many others.
void poison_watch::make_room()
{
    if (m_records.size() < m_options.most_records)
    {
        return;
    }
    const auto oldest = std::min_element(
        m_records.begin(), m_records.end(),
        [](const auto& left, const auto& right)
        {
            return std::pair(left.second.is_proved, left.second.changed_at) <
                   std::pair(right.second.is_proved, right.second.changed_at);
        });
    const auto print = oldest->first;
    drop(print);
}

void poison_watch::note_global_end(const server_life& life, absl::Time at)
{
    const auto [place, is_new] = m_ends.try_emplace(life, at);
    place->second = std::min(place->second, at);
}

// What is older than the memory says nothing any more, unless it is proved.
void poison_watch::forget_old(absl::Time now)
{
    if (now - m_forgotten_at < forget_pause)
    {
        return;
    }
    m_forgotten_at = now;
    const auto oldest = now - m_options.memory;
    std::erase_if(m_ends, [&](const auto& end) { return end.second < oldest; });
    std::vector<request_print> old;
    for (const auto& [print, record] : m_records)
    {
        if (!record.is_proved && record.changed_at < oldest)
        {
            old.push_back(print);
        }
    }
    for (const auto& print : old)
    {
        drop(print);
    }
}

void poison_watch::drop(const request_print& print)
{
    const auto found = m_records.find(print);
    const auto shape = m_shapes.find(found->second.shape);
    if (--shape->second == 0)
    {
        m_shapes.erase(shape);
    }
    m_records.erase(found);
}

void poison_watch::tell(poison_record& record, absl::Time now)
{
    record.changed_at = now;
    if (record.is_proved || record.epoch > 0)
    {
        explain_ends();
    }
    if (std::find(m_news.begin(), m_news.end(), record.print) == m_news.end())
    {
        m_news.push_back(record.print);
    }
}

} // namespace daleshelf
