#include "poison_detector.hpp"

#include <algorithm>
#include <tuple>

namespace daleshelf
{

namespace
{

// Expired records are searched for at this interval; retention takes seconds.
constexpr absl::Duration expiry_interval = absl::Milliseconds(200);
// Limit per record on crashes and on responses: more add no evidence.
constexpr std::size_t incarnation_limit = 16;

} // namespace

absl::Time poison_record::last_crash() const
{
    auto last = absl::InfinitePast();
    for (const auto& [incarnation, crash] : crashes)
    {
        last = std::max(last, crash.at);
    }
    return last;
}

void poison_detector::record_crash(const suspect_request& request,
                                   const server_incarnation& incarnation,
                                   absl::Duration age, absl::Time now)
{
    expire_old(now);
    m_evidence.add_crash(incarnation, now);
    auto& record = find_or_create(request, now);
    record.observed_at = now;
    const bool is_new_crash =
        record.crashes.size() < incarnation_limit &&
        record.crashes.try_emplace(incarnation, server_crash{now, age}).second;
    const bool has_prior_response = add_prior_response(record, now);
    if (is_new_crash || has_prior_response)
    {
        mark_changed(record, now);
    }
}

// A response from before the first crash is weak evidence: the request may have
// become poison since. One such response raises the evidence that is required.
bool poison_detector::add_prior_response(poison_record& record, absl::Time now)
{
    if (record.crashes.empty() || !record.responses.empty())
    {
        return false;
    }
    const auto prior = m_answered.find(record.shape, now - m_options.retention);
    return prior && record.responses.insert(*prior).second;
}

bool poison_detector::record_response(const request_fingerprint& fingerprint,
                                      const completed_response& response,
                                      absl::Time now)
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end())
    {
        return false;
    }
    auto& record = found->second;
    if (record.is_confirmed)
    {
        // The probe completed: a new version fixed it, or it was innocent.
        clear(record, now);
        return true;
    }
    if (record.responses.size() < incarnation_limit &&
        record.responses.insert(response).second)
    {
        mark_changed(record, now);
    }
    return false;
}

void poison_detector::clear(poison_record& record, absl::Time now)
{
    ++record.epoch;
    record.crashes.clear();
    record.responses.clear();
    record.is_confirmed = false;
    record.probe = {};
    mark_changed(record, now);
}

bool poison_detector::merge(const poison_record& received, absl::Time now)
{
    expire_old(now);
    for (const auto& [incarnation, crash] : received.crashes)
    {
        m_evidence.add_crash(incarnation, crash.at);
    }
    auto& record = find_or_create(
        {received.fingerprint, received.shape, received.service, received.kind},
        now);
    if (received.epoch < record.epoch)
    {
        return false;
    }
    bool is_changed = false;
    if (received.epoch > record.epoch)
    {
        // m_shapes counts the record under its own shape.
        const auto shape = record.shape;
        record = received;
        record.shape = shape;
        record.changed_at = now;
        is_changed = true;
    }
    for (const auto& [incarnation, crash] : received.crashes)
    {
        is_changed = (record.crashes.size() < incarnation_limit &&
                      record.crashes.try_emplace(incarnation, crash).second) ||
                     is_changed;
    }
    for (const auto& response : received.responses)
    {
        is_changed = (record.responses.size() < incarnation_limit &&
                      record.responses.insert(response).second) ||
                     is_changed;
    }
    is_changed = add_prior_response(record, now) || is_changed;
    if (received.is_confirmed && !record.is_confirmed)
    {
        record.is_confirmed = true;
        is_changed = true;
    }
    const bool is_first_claim = received.probe.number > record.probe.number ||
                                (received.probe.number == record.probe.number &&
                                 received.probe.host < record.probe.host);
    if (is_first_claim)
    {
        record.probe = received.probe;
        is_changed = true;
    }
    if (record.is_confirmed && is_disproved(record))
    {
        clear(record, now);
        return true;
    }
    if (is_changed)
    {
        mark_changed(record, now);
    }
    return is_changed;
}

suspicion poison_detector::judge(const request_fingerprint& fingerprint,
                                 std::size_t servers, absl::Time now)
{
    expire_old(now);
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.crashes.empty())
    {
        return suspicion::none;
    }
    auto& record = found->second;
    if (record.is_confirmed)
    {
        return m_evidence.is_explained_by_others(record) ? suspicion::suspect
                                                         : suspicion::confirmed;
    }
    if (!is_conclusive(settled_evidence(record, now), servers))
    {
        return suspicion::suspect;
    }
    confirm_stronger(record, servers, now);
    if (!is_conclusive(settled_evidence(record, now), servers))
    {
        return suspicion::suspect;
    }
    confirm(record, now);
    return suspicion::confirmed;
}

void poison_detector::confirm(poison_record& record, absl::Time now)
{
    record.is_confirmed = true;
    mark_changed(record, now);
}

// A request that often runs beside a poison request looks like one. Requests
// that explain the same crashes better are judged first: those with fewer
// responses, then those with more unexplained crashes.
void poison_detector::confirm_stronger(const poison_record& record,
                                       std::size_t servers, absl::Time now)
{
    using rank = std::tuple<int, std::size_t, double>;
    const auto rank_of = [&](const poison_record& ranked)
    {
        const auto attribution = m_evidence.weigh(ranked, servers);
        return rank(-static_cast<int>(ranked.responses.size()),
                    attribution.unexplained_crashes, attribution.weight);
    };
    const auto own_rank = rank_of(record);
    std::vector<std::pair<rank, poison_record*>> stronger;
    for (auto& entry : m_records)
    {
        auto& other = entry.second;
        const bool is_there =
            std::any_of(record.crashes.begin(), record.crashes.end(),
                        [&other](const auto& crash)
                        { return other.crashes.contains(crash.first); });
        if (!is_there || other.is_confirmed ||
            other.fingerprint == record.fingerprint)
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
        if (is_conclusive(settled_evidence(*other, now), servers))
        {
            confirm(*other, now);
        }
    }
}

bool poison_detector::is_serialized(const request_fingerprint& fingerprint,
                                    std::size_t servers, absl::Time now) const
{
    const auto* record = find(fingerprint);
    if (record == nullptr)
    {
        return false;
    }
    const auto seen = settled_evidence(*record, now);
    return recurs(seen) && seen.responses.empty() &&
           weight(seen, servers) >= m_options.confirmation_odds / 2;
}

bool poison_detector::must_wait(const request_fingerprint& fingerprint,
                                std::size_t servers, absl::Time now) const
{
    const auto* record = find(fingerprint);
    if (record == nullptr || !recurs(*record) || !record->responses.empty() ||
        settled_evidence(*record, now).crashes.size() == record->crashes.size())
    {
        return false;
    }
    return is_conclusive(*record, servers);
}

// Leaves out crashes that other hosts may still report on: until then one of
// many simultaneous crashes looks like a crash of a single upstream.
poison_record poison_detector::settled_evidence(const poison_record& record,
                                                absl::Time now) const
{
    auto seen = record;
    std::erase_if(seen.crashes, [&](const auto& crash)
                  { return now - crash.second.at < m_options.settle_time; });
    return seen;
}

// A request with as many responses as crashes is not poison. One without any
// response needs less evidence: three separate crashes are that unlikely by
// chance. Those shared with a confirmed request count as well, as that request
// may have been a bystander at them.
bool poison_detector::is_conclusive(const poison_record& seen,
                                    std::size_t servers) const
{
    if (m_evidence.is_explained_by_others(seen) || is_disproved(seen))
    {
        return false;
    }
    const auto attribution = m_evidence.weigh(seen, servers);
    const bool is_enough = seen.responses.empty() &&
                           seen.crashes.size() >= m_options.crash_limit &&
                           attribution.unexplained_crashes > 0;
    const bool is_one_event = !recurs(seen);
    if (seen.responses.size() >= seen.crashes.size() ||
        (is_one_event && !(is_enough && m_evidence.covers_all_crashes(seen))))
    {
        return false;
    }
    const bool is_strong =
        is_enough ? attribution.crash_weight >= m_options.confirmation_odds / 3
                  : attribution.weight >= m_options.confirmation_odds;
    return is_strong && is_distinguishable(seen, attribution);
}

// A poisonous part crashes every upstream that responds to it, so one response
// disproves it. Attempts of a poisonous request may complete.
bool poison_detector::is_disproved(const poison_record& record)
{
    return record.kind == suspect_kind::prompt_part &&
           !record.responses.empty();
}

// Whether the crashes are more than one event: a frequent request runs on many
// of the upstreams that crash together.
bool poison_detector::recurs(const poison_record& record) const
{
    auto first = absl::InfiniteFuture();
    for (const auto& [incarnation, crash] : record.crashes)
    {
        first = std::min(first, crash.at);
    }
    return record.last_crash() - first > m_options.correlation_window;
}

// Two crashes suffice only if there are no others and no other request ran at
// both; three suffice if at least one of them has no better explanation.
bool poison_detector::is_distinguishable(
    const poison_record& record, const crash_attribution& attribution) const
{
    if (record.crashes.size() >= m_options.crash_limit)
    {
        return attribution.unexplained_crashes > 0;
    }
    return record.kind == suspect_kind::request && record.crashes.size() >= 2 &&
           m_evidence.covers_all_crashes(record) && !has_rival(record);
}

double poison_detector::weight(const poison_record& record,
                               std::size_t servers) const
{
    return m_evidence.weigh(record, servers).weight;
}

// Whether another request without any response ran at each of the crashes: it
// may be the cause as well.
bool poison_detector::has_rival(const poison_record& record) const
{
    return std::any_of(
        m_records.begin(), m_records.end(),
        [&](const auto& entry)
        {
            const auto& other = entry.second;
            return other.fingerprint != record.fingerprint &&
                   other.kind == record.kind && other.responses.empty() &&
                   std::all_of(record.crashes.begin(), record.crashes.end(),
                               [&](const auto& crash)
                               { return other.crashes.contains(crash.first); });
        });
}

absl::Duration
poison_detector::time_to_probe(const request_fingerprint& fingerprint,
                               absl::Time now) const
{
    const auto* record = find(fingerprint);
    return record == nullptr ? absl::ZeroDuration()
                             : m_probe_schedule.time_to_probe(*record, now);
}

bool poison_detector::acquire_probe(const request_fingerprint& fingerprint,
                                    const host_id& self, absl::Time now)
{
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end())
    {
        return true;
    }
    auto& record = found->second;
    if (m_probe_schedule.is_probe_pending(record, now))
    {
        return m_probe_schedule.use_claim(record, self, now);
    }
    if (m_probe_schedule.time_to_probe(record, now) <= absl::ZeroDuration())
    {
        m_probe_schedule.claim(record, self, now);
        mark_changed(record, now);
    }
    return false;
}

std::vector<poison_record> poison_detector::take_unsent(std::size_t limit)
{
    std::vector<poison_record> taken;
    while (!m_unsent.empty() && taken.size() < limit)
    {
        const auto found = m_records.find(m_unsent.front());
        m_unsent.pop_front();
        if (found != m_records.end())
        {
            taken.push_back(found->second);
        }
    }
    return taken;
}

const poison_record*
poison_detector::find(const request_fingerprint& fingerprint) const
{
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() ? nullptr : &found->second;
}

std::vector<poison_record> poison_detector::newest(std::size_t limit) const
{
    std::vector<poison_record> newest;
    for (const auto& [fingerprint, record] : m_records)
    {
        newest.push_back(record);
    }
    std::sort(newest.begin(), newest.end(),
              [](const auto& left, const auto& right)
              { return left.changed_at > right.changed_at; });
    newest.resize(std::min(newest.size(), limit));
    return newest;
}

std::vector<poison_record> poison_detector::confirmed() const
{
    std::vector<poison_record> confirmed;
    for (const auto& [fingerprint, record] : m_records)
    {
        if (record.is_confirmed)
        {
            confirmed.push_back(record);
        }
    }
    return confirmed;
}

poison_record& poison_detector::find_or_create(const suspect_request& request,
                                               absl::Time now)
{
    const auto known = m_records.find(request.fingerprint);
    if (known != m_records.end())
    {
        return known->second;
    }
    evict_if_full();
    auto& record = m_records[request.fingerprint];
    record.fingerprint = request.fingerprint;
    record.shape = request.shape;
    record.service = request.service;
    record.kind = request.kind;
    record.changed_at = now;
    ++m_shapes[request.shape];
    return record;
}

// Evicts confirmed records last: a flood of crashes must not displace them.
void poison_detector::evict_if_full()
{
    if (m_records.size() < m_options.record_limit)
    {
        return;
    }
    const auto oldest = std::min_element(
        m_records.begin(), m_records.end(),
        [](const auto& left, const auto& right)
        {
            return std::pair(left.second.is_confirmed, left.second.changed_at) <
                   std::pair(right.second.is_confirmed,
                             right.second.changed_at);
        });
    const auto fingerprint = oldest->first;
    remove_record(fingerprint);
}

// Removes records past the retention time; confirmed ones stay.
void poison_detector::expire_old(absl::Time now)
{
    if (now - m_expired_at < expiry_interval)
    {
        return;
    }
    m_expired_at = now;
    const auto oldest = now - m_options.retention;
    m_evidence.expire_before(oldest);
    std::vector<request_fingerprint> old;
    for (const auto& [fingerprint, record] : m_records)
    {
        if (!record.is_confirmed && record.changed_at < oldest)
        {
            old.push_back(fingerprint);
        }
    }
    for (const auto& fingerprint : old)
    {
        remove_record(fingerprint);
    }
}

void poison_detector::remove_record(const request_fingerprint& fingerprint)
{
    const auto found = m_records.find(fingerprint);
    const auto shape = m_shapes.find(found->second.shape);
    if (--shape->second == 0)
    {
        m_shapes.erase(shape);
    }
    m_records.erase(found);
}

void poison_detector::mark_changed(poison_record& record, absl::Time now)
{
    record.changed_at = now;
    if (record.is_confirmed || record.epoch > 0)
    {
        m_evidence.set_confirmed_records(confirmed());
    }
    if (std::find(m_unsent.begin(), m_unsent.end(), record.fingerprint) ==
        m_unsent.end())
    {
        m_unsent.push_back(record.fingerprint);
    }
}

} // namespace daleshelf
