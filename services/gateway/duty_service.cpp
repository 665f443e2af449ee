#include "duty_service.hpp"

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds tick{200};
constexpr milliseconds store_time{1200};
// While a lease is held: two calls without an answer leave the time to release
// it before it lapses. A store 60 times as slow as usual answers in 240 ms.
constexpr milliseconds renewal_time{700};
constexpr milliseconds call_time{800};
constexpr milliseconds retry_pause{300};
constexpr milliseconds collect_tick{250};
// What began within a window is counted, and clocks agree, within this time of
// its end.
constexpr absl::Duration settle_delay = absl::Milliseconds(850);
// Of the time in which a window is due: after it, whoever has not told its
// counts is not waited for. The other half is for the log and the call.
constexpr double collect_part = 0.5;
// A new holder asks for at least this long; a window's last quarter is kept
// for the log and the call.
constexpr absl::Duration least_collect_time = absl::Milliseconds(1500);
constexpr double last_collect_part = 0.75;
// A call that was given up may still reach the platform for this long.
constexpr absl::Duration doubt_time = absl::Seconds(1);
constexpr std::size_t most_reported = 64;
// How long neither a reader of the list nor a holder of the lease may be heard.
constexpr absl::Duration readers_time = absl::Seconds(3);

} // namespace

duty_service::duty_service(gateway_state& state, peer_exchange& peers)
    : m_state(state)
    , m_peers(peers)
    , m_ledger(state.self, state.started, duty_options())
    , m_store(state.context, state.settings.store_address)
    , m_platform(state.context, state.settings.duties_address)
    , m_settled(state.context.get_executor())
{
    peers.set_counts_listener(
        [this](std::int64_t window, const host_id& machine)
        { m_collection.on_counts_received(window, machine); });
}

void duty_service::start()
{
    asio::co_spawn(
        m_state.context, [this] { return keep_ledger(); }, asio::detached);
    asio::co_spawn(
        m_state.context, [this] { return report_usage(); }, asio::detached);
    asio::co_spawn(
        m_state.context, [this] { return collect_counts(); }, asio::detached);
}

std::optional<std::int64_t> duty_service::token() const
{
    if (is_leaving())
    {
        return std::nullopt;
    }
    return m_ledger.token(gateway_state::now(), absl::FromChrono(call_time));
}

// No call is begun any more by a holder that is about to release its lease.
bool duty_service::is_leaving() const
{
    return m_is_stopping ||
           m_ledger.should_release(m_peers.table().store_answered_at(),
                                   gateway_state::now());
}

awaitable<std::optional<duty_answer>>
duty_service::call(http_caller& caller, platform::store_call call)
{
    const auto holding = token();
    if (!holding)
    {
        co_return std::nullopt;
    }
    std::string extra;
    platform::write_duty_fields(extra, m_state.self, *holding);
    ++m_open_calls;
    const auto answer =
        co_await caller.call(std::move(call), call_time, std::move(extra));
    --m_open_calls;
    if (!answer)
    {
        m_unanswered_at = gateway_state::now();
    }
    co_return duty_answer{answer ? answer->status : 0, *holding};
}

awaitable<void> duty_service::keep_ledger()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        const bool is_holder_heard = m_peers.hears_duty_holder();
        note_candidacy(is_holder_heard || m_peers.hears_readers());
        note_releases();
        const auto action =
            m_ledger.next_action(is_holder_heard, gateway_state::now());
        if (const auto* wanted = std::get_if<ledger_read>(&action))
        {
            co_await read(wanted->from);
        }
        else if (const auto* grant = std::get_if<ledger_append>(&action))
        {
            co_await append(*grant);
        }
        else if (auto settlement = next_settlement())
        {
            co_await append(std::move(*settlement));
        }
        release_if_due();
        note_lease();
        timer.expires_after(tick +
                            milliseconds(absl::Uniform(m_state.random, 0, 60)));
        co_await timer.async_wait(use_result);
    }
}

// The readers of the list come first. If neither they nor a holder is heard for
// long (all may just be restarting), everybody watches the lease.
void duty_service::note_candidacy(bool is_watched)
{
    const auto now = gateway_state::now();
    if (is_watched || m_watched_at == absl::InfinitePast())
    {
        m_watched_at = now;
    }
    const bool is_watching = m_state.role == list_role::alone ||
                             m_state.role == list_role::reader ||
                             now - m_watched_at > readers_time;
    // Of 295 hosts that started together all tried to take the lease, and
    // read it 3,800 times, before they knew of one another.
    m_ledger.set_candidate(m_state.knows_hosts && is_watching);
}

// What peers have given up need not be waited out.
void duty_service::note_releases()
{
    for (const auto& [name, peer] : m_peers.table().peers())
    {
        const auto token = peer.state.released_token;
        if (token >= 0 && name == m_ledger.holder())
        {
            m_ledger.on_released({name, peer.state.started, token});
        }
    }
}

void duty_service::release_if_due()
{
    const auto now = gateway_state::now();
    const bool is_in_doubt = now - m_unanswered_at < doubt_time;
    if (!is_leaving() || m_open_calls > 0 || is_in_doubt ||
        !m_ledger.token(now))
    {
        return;
    }
    const auto token = m_ledger.token(now).value();
    m_ledger.release(now);
    log(events::lease_released, {{"token", std::to_string(token)},
                                 {"reason", m_is_stopping ? "stop" : "store"}});
}

// Asks all machines for the counts of the window that is due.
awaitable<void> duty_service::collect_counts()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        timer.expires_after(collect_tick);
        co_await timer.async_wait(use_result);
        const auto now = gateway_state::now();
        const auto window = due_window();
        if (!window || !m_ledger.token(now))
        {
            m_collecting.reset();
            continue;
        }
        if (m_collecting != window)
        {
            m_collecting = window;
            m_collecting_since = now;
            m_collection.begin(*window);
        }
        if (m_collection.is_complete(m_peers.machines(true)))
        {
            continue;
        }
        m_peers.ask_counts(
            *window, m_collection.take_due_hosts(m_peers.machines(false), now));
    }
}

awaitable<void> duty_service::report_usage()
{
    while (true)
    {
        co_await m_settled.wait_for(std::chrono::seconds(1));
        const auto oldest = oldest_window();
        std::vector<std::int64_t> due;
        for (const auto& [window, counts] : m_ledger.settled())
        {
            if (window >= oldest && !m_reported.contains(window))
            {
                due.push_back(window);
            }
        }
        for (const auto window : due)
        {
            co_await report(window);
        }
    }
}

awaitable<bool> duty_service::read(log_offset from)
{
    auto call =
        platform::read_call(platform::duty_topic, from, milliseconds(0));
    const auto sent_at = gateway_state::now();
    const auto answer =
        co_await m_store.call(std::move(call), time_for_store());
    const auto now = gateway_state::now();
    if (!answer)
    {
        m_ledger.on_outcome_unknown();
        m_ledger.on_call_failed(sent_at);
        co_return false;
    }
    try
    {
        if (answer->status == http_status::gone)
        {
            const auto first = log_offset(
                require_integer(parse_object(answer->body), "first"));
            m_ledger.on_records(from, first, log_offset(INT64_MAX), {},
                                running_window(), now);
            co_return true;
        }
        if (answer->status != http_status::ok)
        {
            m_ledger.on_call_failed(sent_at);
            co_return false;
        }
        const auto page = platform::read_page(answer->body);
        m_ledger.on_records(from, page.first, page.end, page.records,
                            running_window(), now);
    }
    catch (const json_error&)
    {
        co_return false;
    }
    co_return true;
}

awaitable<void> duty_service::append(ledger_append append)
{
    const auto sent_at = gateway_state::now();
    auto call = platform::append_call(platform::duty_topic, {append.record},
                                      append.expected_end);
    const auto answer =
        co_await m_store.call(std::move(call), time_for_store());
    const auto result =
        answer ? platform::read_append(answer->status, answer->body)
               : platform::append_answer();
    if (result.state != platform::append_answer::outcome::appended)
    {
        m_ledger.on_outcome_unknown();
        if (result.state != platform::append_answer::outcome::wrong_end)
        {
            m_ledger.on_call_failed(sent_at);
        }
        co_return;
    }
    m_ledger.on_appended(append, sent_at);
    if (append.window)
    {
        log(events::usage_settled,
            {{"window", std::to_string(*append.window)},
             {"offset", std::to_string(append.expected_end.value())},
             {"starts", m_peers.table().describe_counts(*append.window)}});
        m_settled.notify();
    }
}

awaitable<void> duty_service::report(std::int64_t window)
{
    while (true)
    {
        auto report =
            platform::usage_call(window, m_ledger.settled().at(window));
        const auto answer = co_await call(m_platform, std::move(report));
        if (!answer)
        {
            co_return;
        }
        const bool is_taken = answer->status > 0 &&
                              answer->status < http_status::first_client_error;
        if (is_taken)
        {
            break;
        }
        log(events::duty_call_failed,
            {{"window", std::to_string(window)},
             {"status", std::to_string(answer->status)},
             {"token", std::to_string(answer->token)}});
        boot_timer timer(m_state.context, retry_pause);
        co_await timer.async_wait(use_result);
        if (!m_ledger.settled().contains(window))
        {
            co_return;
        }
    }
    m_reported.insert(window);
    while (m_reported.size() > most_reported)
    {
        m_reported.erase(m_reported.begin());
    }
    log(events::usage_reported, {{"window", std::to_string(window)}});
}

milliseconds duty_service::time_for_store() const
{
    return m_was_holder ? renewal_time : store_time;
}

// @return a record that settles the window that is due, once its counts have
// been collected
std::optional<ledger_append> duty_service::next_settlement()
{
    const auto now = gateway_state::now();
    const auto window = due_window();
    if (!window || !m_ledger.token(now) || !is_collected(*window))
    {
        return std::nullopt;
    }
    const auto counts = m_peers.table().counts_of(*window);
    if (counts.empty())
    {
        m_newest_empty = *window;
        return std::nullopt;
    }
    return m_ledger.settle(*window, counts, now);
}

// @return the oldest window that ended lately and is not settled
std::optional<std::int64_t> duty_service::due_window() const
{
    if (m_state.settings.duties_address.empty())
    {
        return std::nullopt;
    }
    const auto time = m_state.time_of_day();
    for (auto window = oldest_window();
         m_state.usage.window_end(window) + settle_delay <= time; ++window)
    {
        if (window > m_newest_empty && m_ledger.can_settle(window))
        {
            return window;
        }
    }
    return std::nullopt;
}

std::int64_t duty_service::running_window() const
{
    return m_state.usage.window_at(m_state.time_of_day());
}

// @return whether all machines in reach have told their counts of the window,
// or the time for that is over
bool duty_service::is_collected(std::int64_t window) const
{
    if (m_collecting != window)
    {
        return false;
    }
    if (m_collection.is_complete(m_peers.machines(true)))
    {
        return true;
    }
    const auto late = absl::FromChrono(m_state.settings.usage_late);
    const auto age = m_state.time_of_day() - m_state.usage.window_end(window);
    const auto asked_for = gateway_state::now() - m_collecting_since;
    return age >= late * last_collect_part ||
           (age >= late * collect_part && asked_for >= least_collect_time);
}

std::int64_t duty_service::oldest_window() const
{
    const auto lateness = absl::FromChrono(m_state.settings.usage_late);
    return m_state.usage.window_at(
        m_state.time_of_day() - lateness -
        absl::FromChrono(m_state.settings.usage_window));
}

void duty_service::note_lease()
{
    const auto holding = m_ledger.token(gateway_state::now());
    if (holding.has_value() != m_was_holder)
    {
        m_was_holder = holding.has_value();
        log(m_was_holder ? events::lease_held : events::lease_lost,
            {{"token", std::to_string(holding.value_or(-1))}});
    }
    m_peers.set_duty(
        {m_ledger.holder(), holding.value_or(-1), m_ledger.released_token()});
}

} // namespace daleshelf
