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

// Batches updates. Four gossip hops through the fleet take 0.2 s.
constexpr milliseconds gossip_delay{50};
// A record is 0.1 KB: sent to eight peers, a batch is 20 KB at most, a seventh
// of a 10 Mbit/s link.
constexpr std::size_t records_per_message = 16;
// During a storm of crashes, each record carries little evidence, and there are
// many: lighter ones are not gossiped.
constexpr double min_gossip_weight = 1.6;
constexpr milliseconds store_timeout{700};
constexpr milliseconds read_retry_delay{1000};

} // namespace

poison_service::poison_service(gateway_state& state, peer_exchange& peers)
    : m_state(state)
    , m_peers(peers)
    , m_store(state.context, state.settings.store_address)
{
    peers.set_poison_listener([this](std::string_view bytes)
                              { receive(bytes); });
    peers.add_start_listener([this](const std::string& address)
                             { send_known(address); });
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
        timer.expires_after(read_retry_delay);
        co_await timer.async_wait(use_result);
        is_read = co_await read_log();
    }
    while (true)
    {
        co_await m_state.poison_updates.wait_for(std::chrono::seconds(60));
        timer.expires_after(gossip_delay);
        co_await timer.async_wait(use_result);
        send_updates();
    }
}

// @return whether the store has returned the records
awaitable<bool> poison_service::read_log()
{
    const auto listed = co_await list_topic(
        m_store, std::string(platform::poison_topic), store_timeout);
    if (!listed)
    {
        co_return false;
    }
    for (const auto& record : listed->records)
    {
        apply_record(record);
    }
    co_return true;
}

// A record's value is the time of day at which it was written, in milliseconds,
// a space, and the records as encoded for gossip.
void poison_service::apply_record(const platform::keyed_record& record)
{
    const auto value = record.value.value_or("");
    const auto separator = std::min(value.find(' '), value.size());
    const auto written_ms = parse_integer(value.substr(0, separator));
    const auto payload_start = std::min(separator + 1, value.size());
    const auto age = wall_time() - absl::FromUnixMillis(written_ms.value_or(0));
    const auto now = gateway_state::now();
    const auto known = decode_poison(value.substr(payload_start),
                                     now - std::max(age, absl::ZeroDuration()));
    if (!written_ms || !known)
    {
        m_state.skipped.report(platform::poison_topic, record.key,
                               record.offset, "not a valid poison record");
        return;
    }
    for (const auto& known_record : *known)
    {
        m_state.poison.merge(known_record, now);
        handle_confirmation(known_record);
    }
}

void poison_service::receive(std::string_view bytes)
{
    const auto now = gateway_state::now();
    const auto received = decode_poison(bytes, now);
    if (!received)
    {
        return;
    }
    for (const auto& record : *received)
    {
        if (m_state.poison.merge(record, now))
        {
            m_state.poison_updates.notify();
        }
        // The crash also affects requests of this host at that upstream.
        for (const auto& [crashed, crash] : record.crashes)
        {
            m_state.crashes.handle_crash(crashed, crash_sign::reported);
        }
    }
}

// Sends records that changed since the last batch to a few peers, which
// forward them.
void poison_service::send_updates()
{
    const auto now = gateway_state::now();
    std::vector<poison_record> updates;
    for (const auto& record : m_state.poison.take_unsent(records_per_message))
    {
        const auto servers = m_state.servers.usable_count(record.service);
        m_state.poison.judge(record.fingerprint, servers, now);
        const auto* newest = m_state.poison.find(record.fingerprint);
        if (newest == nullptr)
        {
            continue;
        }
        handle_confirmation(*newest);
        const bool is_significant =
            newest->is_confirmed || newest->epoch > 0 ||
            !newest->responses.empty() ||
            m_state.poison.weight(*newest, servers) >= min_gossip_weight;
        if (is_significant)
        {
            updates.push_back(*newest);
        }
    }
    if (!updates.empty())
    {
        m_peers.send_to_sample(encode_poison(updates, now));
    }
    if (m_state.poison.has_unsent())
    {
        m_state.poison_updates.notify();
    }
}

// A starting host reads confirmed requests from the log, but learns of
// suspected ones from peers only: from the readers of the halls, or, in a small
// fleet, from all hosts.
void poison_service::send_known(const std::string& address)
{
    const bool is_sender =
        m_state.role == list_role::reader || m_state.role == list_role::alone;
    const auto known = m_state.poison.newest(records_per_message);
    if (is_sender && !known.empty())
    {
        m_peers.send_to_peer(address,
                             encode_poison(known, gateway_state::now()));
    }
}

// Logs requests that have become confirmed or cleared. The host that observed
// the last crash writes the change to the log.
void poison_service::handle_confirmation(const poison_record& record)
{
    const bool was_confirmed = m_confirmed.contains(record.fingerprint);
    if (record.is_confirmed == was_confirmed)
    {
        return;
    }
    const bool is_observed_here = record.observed_at != absl::InfinitePast() &&
                                  record.observed_at >= record.last_crash();
    if (record.is_confirmed)
    {
        m_confirmed.insert(record.fingerprint);
        const auto servers = m_state.servers.usable_count(record.service);
        log(events::poison_proved,
            {{"print", record.fingerprint.value()},
             {"subject", std::string(name_of(record.kind))},
             {"service", record.service.value()},
             {"ends", std::to_string(record.crashes.size())},
             {"weight", std::to_string(m_state.poison.weight(record, servers))},
             {"servers", std::to_string(servers)},
             {"seen_here", is_observed_here ? "true" : "false"}});
    }
    else
    {
        m_confirmed.erase(record.fingerprint);
        log(events::poison_cleared, {{"print", record.fingerprint.value()}});
    }
    if (is_observed_here)
    {
        asio::co_spawn(
            m_state.context, [this, record] { return write_record(record); },
            asio::detached);
    }
}

awaitable<void> poison_service::write_record(poison_record record)
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
    const auto response =
        co_await caller.call(std::move(append), store_timeout);
    if (!response || response->status != http_status::ok)
    {
        log(events::log_unreachable,
            {{"topic", std::string(platform::poison_topic)},
             {"key", record.fingerprint.value()}});
    }
}

} // namespace daleshelf
