#include "poison_watch.hpp"

#include <algorithm>
#include <tuple>

namespace daleshelf
{

namespace
{

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
    m_evidence.note(life, now);
    auto& record = open(request, now);
    record.noted_at = now;
    const bool is_new_end =
        record.ends.size() < most_lives &&
        record.ends.try_emplace(life, server_end{now, ran}).second;
    const bool has_answer = add_earlier_answer(record, now);
    if (is_new_end || has_answer)
    {
        tell(record, now);
    }
}

// An answer from before the first crash is weak evidence: the request may have
// become deadly since. One such answer calls for stronger evidence, no more.
bool poison_watch::add_earlier_answer(poison_record& record, absl::Time now)
{
    if (record.ends.empty() || !record.whole.empty())
    {
        return false;
    }
    const auto answered = m_answered.find(record.shape, now - m_options.memory);
    return answered && record.whole.insert(*answered).second;
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
        m_evidence.note(life, end.at);
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
    is_news = add_earlier_answer(record, now) || is_news;
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
        return m_evidence.is_explained_by_others(record) ? suspicion::suspect
                                                         : suspicion::proved;
    }
    if (!is_certain(settled_part(record, now), servers))
    {
        return suspicion::suspect;
    }
    prove_stronger(record, servers, now);
    if (!is_certain(settled_part(record, now), servers))
    {
        return suspicion::suspect;
    }
    prove(record, now);
    return suspicion::proved;
}

void poison_watch::prove(poison_record& record, absl::Time now)
{
    record.is_proved = true;
    tell(record, now);
}

// Whoever was beside a request that ends servers looks like one, the more so
// the oftener it is asked for: what explains the same ends better is judged
// first. What is answered less does, then what was at more of them.
void poison_watch::prove_stronger(const poison_record& record,
                                  std::size_t servers, absl::Time now)
{
    using rank = std::tuple<int, std::size_t, double>;
    const auto rank_of = [&](const poison_record& ranked)
    {
        const auto found = m_evidence.weigh(ranked, servers);
        return rank(-static_cast<int>(ranked.whole.size()), found.ends,
                    found.weight);
    };
    const auto own_rank = rank_of(record);
    std::vector<std::pair<rank, poison_record*>> stronger;
    for (auto& entry : m_records)
    {
        auto& other = entry.second;
        const bool is_there =
            std::any_of(record.ends.begin(), record.ends.end(),
                        [&other](const auto& end)
                        { return other.ends.contains(end.first); });
        if (!is_there || other.is_proved || other.print == record.print)
        {
            continue;
        }
        const auto other_rank = rank_of(other);
        if (other_rank > own_rank)
        {
            stronger.emplace_back(other_rank, &other);
        }
    }
    std::sort(stronger.begin(), stronger.end(),
              [](const auto& left, const auto& right)
              { return left.first > right.first; });
    for (const auto& [other_rank, other] : stronger)
    {
        if (is_certain(settled_part(*other, now), servers))
        {
            prove(*other, now);
        }
    }
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
    if (record == nullptr || !came_twice(*record) || !record->whole.empty() ||
        settled_part(*record, now).ends.size() == record->ends.size())
    {
        return false;
    }
    return is_certain(*record, servers);
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
// that unlikely for it alone. A confirmed request that was at some of them may
// have been there by chance, so that these still count towards the three.
bool poison_watch::is_certain(const poison_record& seen,
                              std::size_t servers) const
{
    if (m_evidence.is_explained_by_others(seen))
    {
        return false;
    }
    const auto found = m_evidence.weigh(seen, servers);
    const bool is_enough = seen.whole.empty() &&
                           seen.ends.size() >= m_options.most_ends &&
                           found.ends > 0;
    const bool came_at_once = !came_twice(seen);
    if (seen.whole.size() >= seen.ends.size() ||
        (came_at_once && !(is_enough && m_evidence.are_all_ends(seen))))
    {
        return false;
    }
    const bool is_strong = is_enough ? found.strength >= m_options.proof / 3
                                     : found.weight >= m_options.proof;
    return is_strong && is_told_from_others(seen, found);
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
// at both; three do if at least one of them has no other explanation.
bool poison_watch::is_told_from_others(const poison_record& record,
                                       const blame& found) const
{
    if (record.ends.size() >= m_options.most_ends)
    {
        return found.ends > 0;
    }
    return record.ends.size() >= 2 && m_evidence.are_all_ends(record) &&
           !has_rival(record);
}

double poison_watch::weight(const poison_record& record,
                            std::size_t servers) const
{
    return m_evidence.weigh(record, servers).weight;
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

absl::Duration poison_watch::time_to_trial(const request_print& print,
                                           absl::Time now) const
{
    const auto* record = find(print);
    return record == nullptr ? absl::ZeroDuration()
                             : m_probation.time_to_trial(*record, now);
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
    if (m_probation.is_trial_open(record, now))
    {
        return m_probation.use_claim(record, self, now);
    }
    if (m_probation.time_to_trial(record, now) <= absl::ZeroDuration())
    {
        m_probation.claim(record, self, now);
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

// What is older than the memory says nothing any more, unless it is proved.
void poison_watch::forget_old(absl::Time now)
{
    if (now - m_forgotten_at < forget_pause)
    {
        return;
    }
    m_forgotten_at = now;
    const auto oldest = now - m_options.memory;
    m_evidence.forget_before(oldest);
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
        m_evidence.set_proved(proved());
    }
    if (std::find(m_news.begin(), m_news.end(), record.print) == m_news.end())
    {
        m_news.push_back(record.print);
    }
}

} // namespace daleshelf
