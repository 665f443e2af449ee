#include "poison_service.hpp"

#include "topic_list.hpp"

#include <base/http_status.hpp>
#include <base/text.hpp>
#include <base/wall_clock.hpp>
#include <poison/poison_message.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

// News waits so long for more: four steps through the fleet take a fifth of a
// second.
constexpr milliseconds tell_pause{50};
// Records of 0.1 KB: with eight peers told, 20 KB a tick at most, a seventh of
// a link of 10 Mbit/s.
constexpr std::size_t most_told = 16;
// In a storm of ends each says little, and there are many.
constexpr double least_told_weight = 1.6;
constexpr milliseconds store_time{700};
constexpr milliseconds read_pause{1000};

} // namespace

poison_service::poison_service(gateway_state& state, peer_exchange& peers)
    : m_state(state)
    , m_peers(peers)
    , m_store(state.context, state.settings.store_address)
{
    peers.set_poison_listener([this](std::string_view bytes) { take(bytes); });
    peers.add_start_listener([this](const std::string& address)
                             { tell_starting(address); });
}

void poison_service::start()
{
    asio::co_spawn(
        m_state.context, [this] { return run(); }, asio::detached);
}

awaitable<void> poison_service::run()
{
    boot_timer timer(m_state.context);
    bool is_read = co_await read_log();
    while (!is_read)
    {
        timer.expires_after(read_pause);
        co_await timer.async_wait(use_result);
        is_read = co_await read_log();
    }
    while (true)
    {
        co_await m_state.poison_news.wait_for(std::chrono::seconds(60));
        timer.expires_after(tell_pause);
        co_await timer.async_wait(use_result);
        tell_news();
    }
}

// @return whether the store has told what is kept there
awaitable<bool> poison_service::read_log()
{
    const auto listed = co_await list_topic(
        m_store, std::string(platform::poison_topic), store_time);
    if (!listed)
    {
        co_return false;
    }
    for (const auto& record : listed->records)
    {
        take_record(record);
    }
    co_return true;
}

// A record's value is the time of day at which it was written, a blank, and
// what hosts tell each other.
void poison_service::take_record(const platform::keyed_record& record)
{
    const auto value = record.value.value_or("");
    const auto blank = std::min(value.find(' '), value.size());
    const auto written_ms = parse_integer(value.substr(0, blank));
    const auto rest = std::min(blank + 1, value.size());
    const auto age = wall_time() - absl::FromUnixMillis(written_ms.value_or(0));
    const auto now = gateway_state::now();
    const auto known = decode_poison(value.substr(rest),
                                     now - std::max(age, absl::ZeroDuration()));
    if (!written_ms || !known)
    {
        m_state.skipped.report(platform::poison_topic, record.key,
                               record.offset, "no record of a request");
        return;
    }
    for (const auto& told : *known)
    {
        m_state.poison.merge(told, now);
        note_changes(told);
    }
}

void poison_service::take(std::string_view bytes)
{
    const auto now = gateway_state::now();
    const auto told = decode_poison(bytes, now);
    if (!told)
    {
        return;
    }
    for (const auto& record : *told)
    {
        if (m_state.poison.merge(record, now))
        {
            m_state.poison_news.notify();
        }
        // Its server has ended under others of this host as well.
        for (const auto& [life, end] : record.crashes)
        {
            m_state.crashes.handle_crash(life, crash_sign::reported);
        }
    }
}

// What changed since the last tick goes to a few peers, who tell it on.
void poison_service::tell_news()
{
    const auto now = gateway_state::now();
    std::vector<poison_record> told;
    for (const auto& record : m_state.poison.take_unsent(most_told))
    {
        const auto servers = m_state.servers.usable(record.service).size();
        m_state.poison.judge(record.fingerprint, servers, now);
        const auto* newest = m_state.poison.find(record.fingerprint);
        if (newest == nullptr)
        {
            continue;
        }
        note_changes(*newest);
        const bool says_much =
            newest->is_confirmed || newest->epoch > 0 ||
            !newest->responses.empty() ||
            m_state.poison.weight(*newest, servers) >= least_told_weight;
        if (says_much)
        {
            told.push_back(*newest);
        }
    }
    if (!told.empty())
    {
        m_peers.send_to_sample(encode_poison(told, now));
    }
    if (m_state.poison.has_unsent())
    {
        m_state.poison_news.notify();
    }
}

// A host that starts knows what is proved from the log, and nothing of what is
// only suspected: those that read for their halls tell it, or all of a few.
void poison_service::tell_starting(const std::string& address)
{
    const bool tells =
        m_state.role == list_role::reader || m_state.role == list_role::alone;
    const auto known = m_state.poison.newest(most_told);
    if (tells && !known.empty())
    {
        m_peers.send_to_peer(address,
                             encode_poison(known, gateway_state::now()));
    }
}

// Logs what is proved or void now; whoever saw the last end writes it down.
void poison_service::note_changes(const poison_record& record)
{
    const bool is_known = m_proved.contains(record.fingerprint);
    if (record.is_confirmed == is_known)
    {
        return;
    }
    const bool is_own = record.observed_at != absl::InfinitePast() &&
                        record.observed_at >= record.last_crash();
    if (record.is_confirmed)
    {
        m_proved.insert(record.fingerprint);
        const auto servers = m_state.servers.usable(record.service).size();
        log(events::poison_proved,
            {{"print", record.fingerprint.value()},
             {"service", record.service.value()},
             {"ends", std::to_string(record.crashes.size())},
             {"weight", std::to_string(m_state.poison.weight(record, servers))},
             {"servers", std::to_string(servers)},
             {"seen_here", is_own ? "true" : "false"}});
    }
    else
    {
        m_proved.erase(record.fingerprint);
        log(events::poison_cleared, {{"print", record.fingerprint.value()}});
    }
    if (is_own)
    {
        asio::co_spawn(
            m_state.context, [this, record] { return write(record); },
            asio::detached);
    }
}

awaitable<void> poison_service::write(poison_record record)
{
    std::string value;
    if (record.is_confirmed)
    {
        value = concat(absl::ToUnixMillis(wall_time()), " ",
                       encode_poison({record}, gateway_state::now()));
    }
    http_caller caller(m_state.context, m_state.settings.store_address);
    auto append = platform::append_call(
        platform::poison_topic,
        {platform::encode_keyed(record.fingerprint.value(), value)},
        std::nullopt);
    const auto answer = co_await caller.call(std::move(append), store_time);
    if (!answer || answer->status != http_status::ok)
    {
        log(events::log_unreachable,
            {{"topic", std::string(platform::poison_topic)},
             {"key", record.fingerprint.value()}});
    }
}

} // namespace daleshelf
