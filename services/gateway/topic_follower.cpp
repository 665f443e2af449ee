#include "topic_follower.hpp"

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds fresh_slack{300};
constexpr milliseconds answer_time{1500};
constexpr milliseconds shortest_tail{500};
constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{1000};
constexpr std::chrono::seconds reached_time{3};
constexpr milliseconds role_look{100};
// A machine that others read for asks the store itself after this silence.
constexpr milliseconds told_time{1400};
// What one datagram lacks another brings: two readers tell the same, each twice
// a second of each topic.
constexpr milliseconds gap_time{300};

} // namespace

std::string_view name_of(record_origin origin)
{
    switch (origin)
    {
    case record_origin::store:
        return "store";
    case record_origin::reader:
        return "reader";
    case record_origin::peer:
        return "peer";
    }
    return "";
}

topic_follower::topic_follower(gateway_state& state, std::string topic,
                               topic_events events)
    : m_state(state)
    , m_topic(std::move(topic))
    , m_listing(m_topic)
    , m_events(std::move(events))
    , m_caller(state.context, state.settings.store_address)
    , m_wake(state.context.get_executor())
{
}

awaitable<void> topic_follower::run()
{
    while (true)
    {
        bool was_answered = false;
        if (m_has_listed)
        {
            co_await wait_for_role();
            co_await wait_for_readers();
            was_answered = co_await tail();
        }
        else
        {
            was_answered = co_await list();
        }
        note_answer(was_answered);
        if (was_answered)
        {
            co_await m_wake.wait_for(m_state.change_batch_delay);
            continue;
        }
        const auto pause = std::min(
            longest_pause, first_pause * (1 << std::min(m_failures, 4)));
        co_await m_wake.wait_for(
            pause + milliseconds(absl::Uniform(m_state.random, 0, 50)));
    }
}

std::size_t
topic_follower::merge(const std::vector<platform::keyed_record>& records,
                      log_offset next)
{
    if (next <= m_next && m_has_listed)
    {
        return 0;
    }
    std::size_t news = 0;
    std::map<std::string, platform::keyed_record> listed;
    for (const auto& record : records)
    {
        listed[record.key] = record;
        const auto known = m_records.find(record.key);
        if (known == m_records.end() || known->second.offset < record.offset)
        {
            ++news;
        }
    }
    m_origin = record_origin::peer;
    apply_list(listed, next);
    return news;
}

bool topic_follower::take_read(
    log_offset from, const std::vector<platform::keyed_record>& records,
    monotonic::time_point now)
{
    if (!m_has_listed)
    {
        return false;
    }
    const log_offset end(from.value() +
                         static_cast<std::int64_t>(records.size()));
    m_heard_end = std::max(m_heard_end, end);
    if (from <= m_next)
    {
        m_origin = records.empty() ? m_origin : record_origin::reader;
        take_page(from, records);
    }
    // A reader that is behind for a moment says that there is nothing newer
    // than what is known here: that is no answer to what another one tells of.
    if (m_next < m_heard_end)
    {
        return has_missed(now);
    }
    m_gap_since.reset();
    if (m_next == end)
    {
        m_told_at = now;
        // A reader that says so has asked the store within this time.
        m_known_at = std::max(m_known_at, now - tail_wait - fresh_slack);
    }
    return false;
}

// Something is missing of what readers tell.
// @return whether it has been for so long that the store is asked
bool topic_follower::has_missed(monotonic::time_point now)
{
    if (!m_gap_since)
    {
        m_gap_since = now;
    }
    const bool is_missed = now - *m_gap_since >= gap_time;
    if (is_missed)
    {
        m_gap_since.reset();
        m_told_at = {};
        m_wake.notify();
    }
    return is_missed;
}

// A host that starts has just listed all that there is; who tells it of changes
// it knows when it has read the list of hosts. Before, 295 hosts that started
// together asked 2,500 times for the servers that were starting too.
awaitable<void> topic_follower::wait_for_role()
{
    while (m_state.role == list_role::starting)
    {
        co_await m_wake.wait_for(role_look);
        // Readers have the time that they have for a word, from now on.
        m_told_at = monotonic::now();
    }
}

// While others read what the store tells, it need not be asked.
awaitable<void> topic_follower::wait_for_readers()
{
    while (is_told())
    {
        co_await m_wake.wait_until(m_told_at + told_time);
    }
}

bool topic_follower::is_told() const
{
    return m_events.on_read && m_state.role == list_role::follower &&
           monotonic::now() < m_told_at + told_time;
}

bool topic_follower::is_fresh() const
{
    const auto since = m_is_tailing ? m_asked_at : m_answered_at;
    return m_has_listed && m_failures == 0 &&
           monotonic::now() - since < tail_wait + fresh_slack;
}

bool topic_follower::is_reached() const
{
    const auto now = monotonic::now();
    if (m_is_tailing && m_failures == 0)
    {
        // A held call is no silence before its time is over.
        return now - m_asked_at < tail_wait + tail_answer_time;
    }
    if (is_told())
    {
        // It does not ask while others read for it.
        return m_was_reached;
    }
    return now - m_answered_at < reached_time;
}

milliseconds topic_follower::asked_age() const
{
    return std::chrono::duration_cast<milliseconds>(monotonic::now() -
                                                    m_asked_at);
}

double topic_follower::answer_age_seconds() const
{
    using seconds = std::chrono::duration<double>;
    return seconds(monotonic::now() - m_answered_at).count();
}

awaitable<bool> topic_follower::list()
{
    const bool is_whole = co_await m_listing.go_on(m_caller, answer_time);
    if (!is_whole)
    {
        co_return false;
    }
    auto read = m_listing.take();
    std::map<std::string, platform::keyed_record> listed;
    for (auto& record : read.records)
    {
        const auto key = record.key;
        listed[key] = std::move(record);
    }
    if (read.end < m_next)
    {
        // A stale read: what is known is newer.
        co_return false;
    }
    for (std::size_t index = 0; index < read.skipped; ++index)
    {
        note_skipped(read.end);
    }
    m_origin = record_origin::store;
    apply_list(listed, read.end);
    m_known_at = std::max(m_known_at, read.asked_at);
    // A host whose hall has readers waits for their word from now on.
    m_told_at = monotonic::now();
    co_return true;
}

awaitable<bool> topic_follower::tail()
{
    const auto from = m_next;
    m_is_tailing = true;
    m_asked_at = monotonic::now();
    auto call = platform::read_call(m_topic, from, tail_wait);
    const auto answer =
        co_await m_caller.call(std::move(call), tail_wait + tail_answer_time);
    m_is_tailing = false;
    const bool is_at_once = monotonic::now() - m_asked_at < shortest_tail;
    if (!answer)
    {
        log_given_up();
        co_return false;
    }
    if (answer->status == http_status::gone)
    {
        log(events::log_trimmed,
            {{"topic", m_topic}, {"offset", std::to_string(from.value())}});
        m_has_listed = false;
        co_return true;
    }
    if (answer->status != http_status::ok)
    {
        co_return false;
    }
    try
    {
        const auto page = platform::read_page(answer->body);
        if (page.first > from && !page.records.empty())
        {
            // Records between were dropped unseen.
            m_has_listed = false;
            co_return true;
        }
        std::vector<platform::keyed_record> records;
        auto offset = from;
        for (const auto& content : page.records)
        {
            records.push_back(platform::decode_keyed(content, offset));
            offset = offset.next();
        }
        if (!records.empty())
        {
            m_origin = record_origin::store;
        }
        take_page(from, records);
        if (!records.empty() && m_events.on_read)
        {
            m_events.on_read(from, records);
        }
        if (page.records.empty() && is_at_once)
        {
            // A stale answer: what is known is newer.
            co_return false;
        }
        m_known_at = std::max(m_known_at, m_asked_at);
        // The store knows what there is, whatever a word has told.
        m_heard_end = m_next;
    }
    catch (const json_error&)
    {
        m_has_listed = false;
        co_return false;
    }
    co_return true;
}

void topic_follower::note_skipped(log_offset offset)
{
    m_state.skipped.note(m_topic, "", offset, "no key");
}

// A call that fails at once is told by `log_unreachable`.
void topic_follower::log_given_up() const
{
    const auto waited =
        std::chrono::duration_cast<milliseconds>(monotonic::now() - m_asked_at);
    if (waited < tail_wait)
    {
        return;
    }
    log(events::wait_given_up, {{"topic", m_topic},
                                {"offset", std::to_string(m_next.value())},
                                {"waited_ms", std::to_string(waited.count())},
                                {"role", std::string(name_of(m_state.role))}});
}

// Takes the records of consecutive offsets that are not known yet.
void topic_follower::take_page(
    log_offset from, const std::vector<platform::keyed_record>& records)
{
    auto offset = from;
    for (const auto& record : records)
    {
        if (offset >= m_next)
        {
            take(record);
            m_next = offset.next();
        }
        offset = offset.next();
    }
}

// Takes a whole list: what it lacks had been dropped before `next`.
void topic_follower::apply_list(
    const std::map<std::string, platform::keyed_record>& listed,
    log_offset next)
{
    for (const auto& [key, record] : listed)
    {
        take(record);
    }
    for (auto known = m_records.begin(); known != m_records.end();)
    {
        const bool is_gone =
            !listed.contains(known->first) && known->second.offset < next;
        known = is_gone ? m_records.erase(known) : std::next(known);
    }
    m_next = std::max(m_next, next);
    m_has_listed = true;
    m_events.on_list(m_records);
}

void topic_follower::take(const platform::keyed_record& record)
{
    if (!record.is_readable())
    {
        // What cannot be read says nothing of any key; the next one may.
        note_skipped(record.offset);
        return;
    }
    const auto known = m_records.find(record.key);
    if (known != m_records.end() && known->second.offset >= record.offset)
    {
        return;
    }
    if (record.value)
    {
        m_records[record.key] = record;
    }
    else if (known != m_records.end())
    {
        m_records.erase(known);
    }
    m_events.on_record(record);
}

void topic_follower::note_answer(bool was_answered)
{
    if (was_answered)
    {
        m_answered_at = monotonic::now();
        m_failures = 0;
    }
    else
    {
        ++m_failures;
    }
    const bool is_reached_now = was_answered;
    if (is_reached_now != m_was_reached && (was_answered || m_failures > 1))
    {
        m_was_reached = is_reached_now;
        log(is_reached_now ? events::log_reachable : events::log_unreachable,
            {{"topic", m_topic}, {"offset", std::to_string(m_next.value())}});
    }
}

} // namespace daleshelf
