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
constexpr milliseconds call_time{800};
constexpr milliseconds retry_pause{300};
// The counts of peers arrive within this time of a window's end, and the pause
// between two datagrams.
constexpr absl::Duration settle_delay = absl::Milliseconds(850);
constexpr std::size_t most_reported = 64;
// How long the readers of the list may leave the lease to nobody.
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
}

void duty_service::start()
{
    asio::co_spawn(
        m_state.context, [this] { return keep_ledger(); }, asio::detached);
    asio::co_spawn(
        m_state.context, [this] { return report_usage(); }, asio::detached);
}

std::optional<std::int64_t> duty_service::token() const
{
    return m_ledger.token(gateway_state::now(), absl::FromChrono(call_time));
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
    const auto answer =
        co_await caller.call(std::move(call), call_time, std::move(extra));
    co_return duty_answer{answer ? answer->status : 0, *holding};
}

awaitable<void> duty_service::keep_ledger()
{
    asio::steady_timer timer(m_state.context);
    while (true)
    {
        const bool is_holder_heard = m_peers.hears_duty_holder();
        note_candidacy(is_holder_heard);
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
        note_lease();
        timer.expires_after(tick +
                            milliseconds(absl::Uniform(m_state.random, 0, 60)));
        co_await timer.async_wait(use_result);
    }
}

// The readers of the list come first. If none of them has taken the lease for
// long (all may just be restarting), everybody watches it.
void duty_service::note_candidacy(bool is_holder_heard)
{
    const auto now = gateway_state::now();
    if (is_holder_heard || m_holder_heard_at == absl::InfinitePast())
    {
        m_holder_heard_at = now;
    }
    m_ledger.set_candidate(m_state.role != list_role::follower ||
                           now - m_holder_heard_at > readers_time);
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
    const auto answer = co_await m_store.call(std::move(call), store_time);
    const auto now = gateway_state::now();
    if (!answer)
    {
        m_ledger.on_uncertain();
        co_return false;
    }
    try
    {
        if (answer->status == http_status::gone)
        {
            const auto first = log_offset(
                require_integer(parse_object(answer->body), "first"));
            m_ledger.on_records(from, first, log_offset(INT64_MAX), {}, now);
            co_return true;
        }
        if (answer->status != http_status::ok)
        {
            co_return false;
        }
        const auto page = platform::read_page(answer->body);
        m_ledger.on_records(from, page.first, page.end, page.records, now);
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
    auto call =
        platform::append_call(platform::duty_topic, {append.record}, append.at);
    const auto answer = co_await m_store.call(std::move(call), store_time);
    const auto result =
        answer ? platform::read_append(answer->status, answer->body)
               : platform::append_answer();
    if (result.state != platform::append_answer::outcome::appended)
    {
        m_ledger.on_uncertain();
        co_return;
    }
    m_ledger.on_appended(append, sent_at);
    if (append.window)
    {
        log(events::usage_settled,
            {{"window", std::to_string(*append.window)},
             {"offset", std::to_string(append.at.value())},
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
        asio::steady_timer timer(m_state.context, retry_pause);
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

// @return the oldest window that ended lately and is not settled
std::optional<ledger_append> duty_service::next_settlement()
{
    const auto now = gateway_state::now();
    if (m_state.settings.duties_address.empty() || !m_ledger.token(now))
    {
        return std::nullopt;
    }
    const auto time = m_state.time_of_day();
    const auto pause = m_peers.table().send_pause();
    for (auto window = oldest_window();
         m_state.usage.end_of(window) + settle_delay + pause <= time; ++window)
    {
        if (m_ledger.settled().contains(window))
        {
            continue;
        }
        const auto counts = m_peers.table().counts_of(window);
        if (!counts.empty())
        {
            return m_ledger.settle(window, counts, now);
        }
    }
    return std::nullopt;
}

std::int64_t duty_service::oldest_window() const
{
    const auto lateness = absl::FromChrono(m_state.settings.usage_late);
    return m_state.usage.window_of(
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
    m_peers.set_duty({m_ledger.holder(), holding.value_or(-1)});
}

} // namespace daleshelf
