#include "topic_follower.hpp"

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds fresh_slack{300};
constexpr milliseconds page_timeout{1500};
// The clients of resumed streams wait meanwhile.
constexpr milliseconds confirmation_timeout{300};
constexpr milliseconds min_tail_duration{500};
constexpr milliseconds initial_backoff{100};
constexpr milliseconds max_backoff{1000};
constexpr std::chrono::seconds reachable_timeout{3};
constexpr milliseconds role_poll_interval{100};
// A lost datagram is normally covered by the next one: two readers send the
// same records, each of them twice a second per topic. A follower waits this
// long for missing records before it fetches them.
constexpr milliseconds gap_timeout{300};
// Records that a peer may lack after lost datagrams.
constexpr std::size_t max_kept_records = 4096;
constexpr std::size_t max_kept_bytes = 1U << 20U;

std::vector<platform::keyed_record>
decode_records(const platform::log_page& page, log_offset from)
{
    std::vector<platform::keyed_record> records;
    auto offset = from;
    for (const auto& content : page.records)
    {
        records.push_back(platform::decode_keyed(content, offset));
        offset = offset.next();
    }
    return records;
}

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
                               topic_callbacks callbacks)
    : m_state(state)
    , m_topic(std::move(topic))
    , m_listing(m_topic)
    , m_callbacks(std::move(callbacks))
    , m_caller(state.context, state.settings.store_address)
    , m_confirming_caller(state.context, state.settings.store_address)
    , m_confirmations(state.context, [this] { return read_to_end(); })
    , m_wake(state.context.get_executor())
    , m_newest(max_kept_records, max_kept_bytes)
{
}

awaitable<void> topic_follower::run()
{
    if (m_callbacks.catch_up)
    {
        // If it fails, the list is read from the store.
        (void)co_await m_callbacks.catch_up();
    }
    while (true)
    {
        const bool has_succeeded = co_await read();
        record_call_result(has_succeeded);
        if (has_succeeded && m_has_more)
        {
            continue;
        }
        if (has_succeeded)
        {
            co_await m_wake.wait_for(m_state.change_batch_delay);
            continue;
        }
        const auto backoff = std::min(
            max_backoff, initial_backoff * (1 << std::min(m_failures, 4)));
        co_await m_wake.wait_for(
            backoff + milliseconds(absl::Uniform(m_state.random, 0, 50)));
    }
}

// @return whether new records were read, or none are missing
awaitable<bool> topic_follower::read()
{
    if (!m_has_listed)
    {
        co_return co_await list();
    }
    co_await wait_for_role();
    co_await wait_while_readers_report();
    if (std::exchange(m_is_behind, false) && m_callbacks.catch_up)
    {
        const bool has_caught_up = co_await m_callbacks.catch_up();
        if (has_caught_up)
        {
            m_last_report_at = monotonic::now();
            co_return true;
        }
    }
    co_return co_await tail();
}

std::size_t
topic_follower::append(log_offset from,
                       const std::vector<platform::keyed_record>& records)
{
    if (!m_has_listed || from > m_next)
    {
        return 0;
    }
    const auto before = m_next;
    m_origin = record_origin::peer;
    apply_page(from, records);
    return static_cast<std::size_t>(m_next.value() - before.value());
}

std::optional<std::vector<platform::keyed_record>>
topic_follower::records_since(log_offset from) const
{
    const auto missing = m_next.value() - from.value();
    if (missing < 0)
    {
        return std::nullopt;
    }
    return m_newest.newest(static_cast<std::size_t>(missing));
}

std::size_t
topic_follower::merge(const std::vector<platform::keyed_record>& records,
                      log_offset next)
{
    if (next <= m_next && m_has_listed)
    {
        return 0;
    }
    std::size_t new_records = 0;
    std::map<std::string, platform::keyed_record> listed;
    for (const auto& record : records)
    {
        listed[record.key] = record;
        const auto known = m_records.find(record.key);
        if (known == m_records.end() || known->second.offset < record.offset)
        {
            ++new_records;
        }
    }
    m_origin = record_origin::peer;
    apply_list(listed, next);
    return new_records;
}

bool topic_follower::apply_shared_records(
    log_offset from, const std::vector<platform::keyed_record>& records,
    monotonic::time_point now)
{
    if (!m_has_listed)
    {
        return false;
    }
    const log_offset end(from.value() +
                         static_cast<std::int64_t>(records.size()));
    m_announced_end = std::max(m_announced_end, end);
    if (from <= m_next)
    {
        m_origin = records.empty() ? m_origin : record_origin::reader;
        apply_page(from, records);
    }
    // A reader that lags behind reports that there is nothing newer than the
    // records known here; this does not close a gap that another reader has
    // announced.
    if (m_next < m_announced_end)
    {
        return has_persistent_gap(now);
    }
    m_gap_since.reset();
    if (m_next == end)
    {
        m_last_report_at = now;
        // A reader reports only if the store has responded within this time.
        m_complete_as_of =
            std::max(m_complete_as_of, now - tail_wait - fresh_slack);
    }
    return false;
}

// Handles a gap between the known records and those that readers announced.
// @return whether the gap has lasted so long that the store is called
bool topic_follower::has_persistent_gap(monotonic::time_point now)
{
    if (!m_gap_since)
    {
        m_gap_since = now;
    }
    const bool is_persistent = now - *m_gap_since >= gap_timeout;
    if (is_persistent)
    {
        m_gap_since.reset();
        m_last_report_at = {};
        m_is_behind = true;
        m_wake.notify();
    }
    return is_persistent;
}

// Waits until the host knows its role. A host that starts has just listed all
// records, and learns its readers from the list of hosts. Without this wait,
// 295 hosts that start together call the store 2,500 times for the upstreams
// that start at the same time.
awaitable<void> topic_follower::wait_for_role()
{
    while (m_state.role == list_role::starting)
    {
        co_await m_wake.wait_for(role_poll_interval);
        // The timeout for the readers' first report starts now.
        m_last_report_at = monotonic::now();
    }
}

// Makes no calls to the store while readers of the hall report its records.
awaitable<void> topic_follower::wait_while_readers_report()
{
    while (is_served_by_readers())
    {
        co_await m_wake.wait_until(m_last_report_at +
                                   m_state.store_fallback_delay);
    }
}

bool topic_follower::is_served_by_readers() const
{
    return m_callbacks.on_read && m_state.role == list_role::follower &&
           monotonic::now() < m_last_report_at + m_state.store_fallback_delay;
}

bool topic_follower::is_fresh() const
{
    const auto since = m_is_tailing ? m_requested_at : m_responded_at;
    return m_has_listed && m_failures == 0 &&
           monotonic::now() - since < tail_wait + fresh_slack;
}

bool topic_follower::is_store_reachable() const
{
    const auto now = monotonic::now();
    if (m_is_tailing && m_failures == 0)
    {
        // A long poll may stay without a response until its timeout.
        return now - m_requested_at < tail_wait + tail_response_margin;
    }
    if (is_served_by_readers())
    {
        // The host makes no calls while readers serve it.
        return m_was_reachable;
    }
    return now - m_responded_at < reachable_timeout;
}

milliseconds topic_follower::request_age() const
{
    return std::chrono::duration_cast<milliseconds>(monotonic::now() -
                                                    m_requested_at);
}

double topic_follower::response_age_seconds() const
{
    using seconds = std::chrono::duration<double>;
    return seconds(monotonic::now() - m_responded_at).count();
}

awaitable<bool> topic_follower::list()
{
    const bool is_complete =
        co_await m_listing.fetch_remaining(m_caller, page_timeout);
    if (!is_complete)
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
        // The response is stale: the known records are newer.
        co_return false;
    }
    for (std::size_t index = 0; index < read.skipped; ++index)
    {
        report_skipped(read.end);
    }
    m_origin = record_origin::store;
    apply_list(listed, read.end);
    m_complete_as_of = std::max(m_complete_as_of, read.requested_at);
    // The timeout for reports of the hall's readers restarts.
    m_last_report_at = monotonic::now();
    co_return true;
}

awaitable<bool> topic_follower::tail()
{
    const auto from = m_next;
    m_has_more = false;
    m_is_tailing = true;
    m_requested_at = monotonic::now();
    auto call = platform::read_call(m_topic, from, tail_wait);
    const auto response = co_await m_caller.call(
        std::move(call), tail_wait + tail_response_margin);
    m_is_tailing = false;
    const bool is_immediate =
        monotonic::now() - m_requested_at < min_tail_duration;
    if (!response)
    {
        log_wait_timeout();
        co_return false;
    }
    if (response->status == http_status::gone)
    {
        log(events::log_trimmed,
            {{"topic", m_topic}, {"offset", std::to_string(from.value())}});
        m_has_listed = false;
        co_return true;
    }
    if (response->status != http_status::ok)
    {
        co_return false;
    }
    try
    {
        const auto page = platform::read_page(response->body);
        if (page.first > from && !page.records.empty())
        {
            // The log dropped records before they were read.
            m_has_listed = false;
            co_return true;
        }
        const auto records = decode_records(page, from);
        if (!records.empty())
        {
            m_origin = record_origin::store;
        }
        apply_page(from, records);
        if (!records.empty() && m_callbacks.on_read)
        {
            m_callbacks.on_read(from, records);
        }
        if (page.records.empty() && is_immediate)
        {
            // The response is stale: the known records are newer.
            co_return false;
        }
        m_has_more = m_next < page.end && !page.records.empty();
        if (!m_has_more)
        {
            m_complete_as_of = std::max(m_complete_as_of, m_requested_at);
        }
        // The store is authoritative over offsets that readers announce.
        m_announced_end = m_next;
    }
    catch (const json_error&)
    {
        m_has_listed = false;
        co_return false;
    }
    co_return true;
}

awaitable<bool> topic_follower::confirm()
{
    // The follower's own calls show when the store responds again.
    const bool is_unreachable = m_failures > 1 && !is_served_by_readers();
    if (is_unreachable)
    {
        co_return false;
    }
    co_return co_await m_confirmations.pass(confirmation_timeout);
}

awaitable<bool> topic_follower::read_to_end()
{
    const auto until = monotonic::now() + confirmation_timeout;
    while (m_has_listed && monotonic::now() < until)
    {
        const auto from = m_next;
        const auto requested_at = monotonic::now();
        auto call = platform::read_call(m_topic, from, milliseconds(0));
        const auto response = co_await m_confirming_caller.call(
            std::move(call), confirmation_timeout);
        if (!m_has_listed || !response || response->status != http_status::ok)
        {
            co_return false;
        }
        try
        {
            const auto page = platform::read_page(response->body);
            const bool has_gap = page.first > from && !page.records.empty();
            if (has_gap || page.end < from)
            {
                co_return false;
            }
            apply_page(from, decode_records(page, from));
            if (m_next >= page.end)
            {
                m_complete_as_of = std::max(m_complete_as_of, requested_at);
                co_return true;
            }
            if (page.records.empty())
            {
                co_return false;
            }
        }
        catch (const json_error&)
        {
            co_return false;
        }
    }
    co_return false;
}

void topic_follower::report_skipped(log_offset offset)
{
    m_state.skipped.report(m_topic, "", offset, "no key");
}

// Logs a long poll that timed out; `log_unreachable` covers calls that fail
// sooner.
void topic_follower::log_wait_timeout() const
{
    const auto waited = std::chrono::duration_cast<milliseconds>(
        monotonic::now() - m_requested_at);
    if (waited < tail_wait)
    {
        return;
    }
    log(events::wait_given_up, {{"topic", m_topic},
                                {"offset", std::to_string(m_next.value())},
                                {"waited_ms", std::to_string(waited.count())},
                                {"role", std::string(name_of(m_state.role))}});
}

// Applies those records of consecutive offsets that are not known yet.
void topic_follower::apply_page(
    log_offset from, const std::vector<platform::keyed_record>& records)
{
    auto offset = from;
    for (const auto& record : records)
    {
        if (offset >= m_next)
        {
            apply_record(record);
            m_newest.push(record);
            m_next = offset.next();
        }
        offset = offset.next();
    }
}

// Applies a complete list: known records that it lacks were dropped before
// `next`.
void topic_follower::apply_list(
    const std::map<std::string, platform::keyed_record>& listed,
    log_offset next)
{
    for (const auto& [key, record] : listed)
    {
        apply_record(record);
    }
    for (auto known = m_records.begin(); known != m_records.end();)
    {
        const bool is_removed =
            !listed.contains(known->first) && known->second.offset < next;
        known = is_removed ? m_records.erase(known) : std::next(known);
    }
    m_next = std::max(m_next, next);
    m_newest.clear();
    m_has_listed = true;
    m_callbacks.on_list(m_records);
}

void topic_follower::apply_record(const platform::keyed_record& record)
{
    if (!record.is_readable())
    {
        // An unreadable record is skipped: it changes no key, and later records
        // may be readable.
        report_skipped(record.offset);
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
    m_callbacks.on_record(record);
}

void topic_follower::record_call_result(bool has_succeeded)
{
    if (has_succeeded)
    {
        m_responded_at = monotonic::now();
        m_failures = 0;
    }
    else
    {
        ++m_failures;
    }
    const bool is_reachable_now = has_succeeded;
    if (is_reachable_now != m_was_reachable &&
        (has_succeeded || m_failures > 1))
    {
        m_was_reachable = is_reachable_now;
        log(is_reachable_now ? events::log_reachable : events::log_unreachable,
            {{"topic", m_topic}, {"offset", std::to_string(m_next.value())}});
    }
}

} // namespace daleshelf
