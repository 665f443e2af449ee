#include "duty_service.hpp"

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds check_interval{200};
constexpr milliseconds store_timeout{1200};
// Timeout while the lease is held: after two calls without a response there is
// still time to release the lease before it expires. A store that is 60 times
// slower than usual responds in 240 ms.
constexpr milliseconds renewal_timeout{700};
constexpr milliseconds call_timeout{800};
constexpr milliseconds retry_delay{300};
constexpr milliseconds collect_interval{250};
// Within this time after the end of a window, all requests that started in it
// are counted, and clock differences between hosts are covered.
constexpr absl::Duration settle_delay = absl::Milliseconds(850);
// Fraction of the reporting deadline of a window after which hosts that have
// not sent their counts are not waited for. The other half is for the log and
// the call.
constexpr double collect_fraction = 0.5;
// A new holder requests counts for at least this long, but the last quarter of
// the reporting deadline is reserved for the log and the call.
constexpr absl::Duration min_collect_time = absl::Milliseconds(1500);
constexpr double final_collect_fraction = 0.75;
// A call that timed out may still reach the platform for this long.
constexpr absl::Duration unknown_outcome_time = absl::Seconds(1);
constexpr std::size_t reported_window_limit = 64;
// Without a message from a reader of the list or the lease holder for this
// long, all hosts watch the lease.
constexpr absl::Duration reader_silence_limit = absl::Seconds(3);

} // namespace

duty_service::duty_service(gateway_state& state, peer_exchange& peers)
    : m_state(state)
    , m_peers(peers)
    , m_ledger(state.self, state.own_incarnation, duty_options())
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
        m_state.context, [this] { return run_lease(); }, asio::detached);
    asio::co_spawn(
        m_state.context, [this] { return report_usage(); }, asio::detached);
    asio::co_spawn(
        m_state.context, [this] { return collect_counts(); }, asio::detached);
}

std::optional<std::int64_t> duty_service::fencing_token() const
{
    if (is_releasing())
    {
        return std::nullopt;
    }
    return m_ledger.token(gateway_state::now(), absl::FromChrono(call_timeout));
}

// A holder that is about to release its lease starts no further calls.
bool duty_service::is_releasing() const
{
    return m_is_stopping ||
           m_ledger.should_release(m_peers.table().store_answered_at(),
                                   gateway_state::now());
}

awaitable<std::optional<duty_response>>
duty_service::call_as_holder(http_caller& caller, platform::store_call call)
{
    const auto held_token = fencing_token();
    if (!held_token)
    {
        co_return std::nullopt;
    }
    std::string extra;
    platform::write_duty_fields(extra, m_state.self, *held_token);
    ++m_calls_in_flight;
    const auto response =
        co_await caller.call(std::move(call), call_timeout, std::move(extra));
    --m_calls_in_flight;
    if (!response)
    {
        m_unanswered_call_at = gateway_state::now();
    }
    co_return duty_response{response ? response->status : 0, *held_token};
}

awaitable<void> duty_service::run_lease()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        const bool is_holder_heard = m_peers.is_duty_holder_reachable();
        update_candidacy(is_holder_heard || m_peers.has_active_readers());
        apply_peer_releases();
        const auto action =
            m_ledger.next_action(is_holder_heard, gateway_state::now());
        if (const auto* pending_read = std::get_if<ledger_read>(&action))
        {
            co_await read_log(pending_read->from);
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
        publish_lease();
        timer.expires_after(check_interval +
                            milliseconds(absl::Uniform(m_state.random, 0, 60)));
        co_await timer.async_wait(use_result);
    }
}

// The readers of the list are the candidates for the lease. If neither they nor
// a holder have been heard for `reader_silence_limit` (they may all be
// restarting), all hosts are.
void duty_service::update_candidacy(bool is_watched)
{
    const auto now = gateway_state::now();
    if (is_watched || m_lease_watched_at == absl::InfinitePast())
    {
        m_lease_watched_at = now;
    }
    const bool is_watching = m_state.role == list_role::alone ||
                             m_state.role == list_role::reader ||
                             now - m_lease_watched_at > reader_silence_limit;
    // Without the list of hosts, 295 hosts that start together all try to
    // acquire the lease, and read it 3,800 times, before they know each other.
    m_ledger.set_candidate(m_state.knows_hosts && is_watching);
}

// A lease that its holder has released need not expire first.
void duty_service::apply_peer_releases()
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
    const bool has_unknown_outcome =
        now - m_unanswered_call_at < unknown_outcome_time;
    if (!is_releasing() || m_calls_in_flight > 0 || has_unknown_outcome ||
        !m_ledger.token(now))
    {
        return;
    }
    const auto token = m_ledger.token(now).value();
    m_ledger.release(now);
    log(events::lease_released, {{"token", std::to_string(token)},
                                 {"reason", m_is_stopping ? "stop" : "store"}});
}

// Requests the counts of the due window from all hosts.
awaitable<void> duty_service::collect_counts()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        timer.expires_after(collect_interval);
        co_await timer.async_wait(use_result);
        const auto now = gateway_state::now();
        const auto window = due_window();
        if (!window || !m_ledger.token(now))
        {
            m_requested_window.reset();
            continue;
        }
        if (m_requested_window != window)
        {
            m_requested_window = window;
            m_collection_started_at = now;
            m_collection.begin(*window);
        }
        if (m_collection.is_complete(m_peers.hosts(true)))
        {
            continue;
        }
        m_peers.request_counts(
            *window, m_collection.take_due_hosts(m_peers.hosts(false), now));
    }
}

awaitable<void> duty_service::report_usage()
{
    while (true)
    {
        co_await m_settled.wait_for(std::chrono::seconds(1));
        const auto oldest = oldest_due_window();
        std::vector<std::int64_t> due;
        for (const auto& [window, counts] : m_ledger.settled())
        {
            if (window >= oldest && !m_reported_windows.contains(window))
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

awaitable<bool> duty_service::read_log(log_offset from)
{
    auto call =
        platform::read_call(platform::duty_topic, from, milliseconds(0));
    const auto sent_at = gateway_state::now();
    const auto response =
        co_await m_store.call(std::move(call), store_call_timeout());
    const auto now = gateway_state::now();
    if (!response)
    {
        m_ledger.on_outcome_unknown();
        m_ledger.on_call_failed(sent_at);
        co_return false;
    }
    try
    {
        if (response->status == http_status::gone)
        {
            const auto first = log_offset(
                require_integer(parse_object(response->body), "first"));
            m_ledger.on_records(from, first, log_offset(INT64_MAX), {},
                                current_window(), now);
            co_return true;
        }
        if (response->status != http_status::ok)
        {
            m_ledger.on_call_failed(sent_at);
            co_return false;
        }
        const auto page = platform::read_page(response->body);
        m_ledger.on_records(from, page.first, page.end, page.records,
                            current_window(), now);
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
    const auto response =
        co_await m_store.call(std::move(call), store_call_timeout());
    const auto result =
        response
            ? platform::read_append_response(response->status, response->body)
            : platform::append_response();
    if (result.state != platform::append_response::outcome::appended)
    {
        m_ledger.on_outcome_unknown();
        if (result.state != platform::append_response::outcome::end_mismatch)
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
        const auto response =
            co_await call_as_holder(m_platform, std::move(report));
        if (!response)
        {
            co_return;
        }
        const bool is_accepted =
            response->status > 0 &&
            response->status < http_status::first_client_error;
        if (is_accepted)
        {
            break;
        }
        log(events::duty_call_failed,
            {{"window", std::to_string(window)},
             {"status", std::to_string(response->status)},
             {"token", std::to_string(response->token)}});
        boot_timer timer(m_state.context, retry_delay);
        co_await timer.async_wait(use_result);
        if (!m_ledger.settled().contains(window))
        {
            co_return;
        }
    }
    m_reported_windows.insert(window);
    while (m_reported_windows.size() > reported_window_limit)
    {
        m_reported_windows.erase(m_reported_windows.begin());
    }
    log(events::usage_reported, {{"window", std::to_string(window)}});
}

milliseconds duty_service::store_call_timeout() const
{
    return m_was_holder ? renewal_timeout : store_timeout;
}

// @return a record that settles the due window, once its counts are collected
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
        m_newest_empty_window = *window;
        return std::nullopt;
    }
    return m_ledger.settle(*window, counts, now);
}

// @return the oldest ended window within the reporting deadline that is not
// settled
std::optional<std::int64_t> duty_service::due_window() const
{
    if (m_state.settings.duties_address.empty())
    {
        return std::nullopt;
    }
    const auto time = m_state.time_of_day();
    for (auto window = oldest_due_window();
         m_state.usage.window_end(window) + settle_delay <= time; ++window)
    {
        if (window > m_newest_empty_window && m_ledger.can_settle(window))
        {
            return window;
        }
    }
    return std::nullopt;
}

std::int64_t duty_service::current_window() const
{
    return m_state.usage.window_at(m_state.time_of_day());
}

// @return whether all reachable hosts have sent their counts of the window, or
// the time for collecting them has passed
bool duty_service::is_collected(std::int64_t window) const
{
    if (m_requested_window != window)
    {
        return false;
    }
    if (m_collection.is_complete(m_peers.hosts(true)))
    {
        return true;
    }
    const auto late = absl::FromChrono(m_state.settings.usage_late);
    const auto age = m_state.time_of_day() - m_state.usage.window_end(window);
    const auto asked_for = gateway_state::now() - m_collection_started_at;
    return age >= late * final_collect_fraction ||
           (age >= late * collect_fraction && asked_for >= min_collect_time);
}

std::int64_t duty_service::oldest_due_window() const
{
    const auto lateness = absl::FromChrono(m_state.settings.usage_late);
    return m_state.usage.window_at(
        m_state.time_of_day() - lateness -
        absl::FromChrono(m_state.settings.usage_window));
}

void duty_service::publish_lease()
{
    const auto held_token = m_ledger.token(gateway_state::now());
    if (held_token.has_value() != m_was_holder)
    {
        m_was_holder = held_token.has_value();
        log(m_was_holder ? events::lease_held : events::lease_lost,
            {{"token", std::to_string(held_token.value_or(-1))}});
    }
    m_peers.set_duty({m_ledger.holder(), held_token.value_or(-1),
                      m_ledger.released_token()});
}

} // namespace daleshelf
