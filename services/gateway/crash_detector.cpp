#include "crash_detector.hpp"

#include "gateway_state.hpp"

#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

// An aborted request runs on for about 0.1 s at most upstreams. Within as much
// time again, other requests reveal the crash of a busy upstream.
constexpr absl::Duration attempt_retention = absl::Seconds(2);
// 0.3 KB each; holds two seconds of 250 aborted requests per second, with three
// shared parts in their prompts.
constexpr std::size_t max_unfinished_attempts = 2048;
// A closed port refuses within a round trip.
constexpr milliseconds probe_timeout{300};
// By then an upstream that cancels aborted requests has crashed or survived.
constexpr milliseconds probe_delay{250};

// @return whether the port refuses connections
awaitable<bool> is_port_closed(asio::io_context& context,
                               asio::ip::tcp::endpoint endpoint)
{
    asio::ip::tcp::socket socket(context);
    boot_timer limit(context, probe_timeout);
    limit.async_wait(
        [&socket](const error_code& error)
        {
            if (!error)
            {
                socket.cancel();
            }
        });
    const auto [error] = co_await socket.async_connect(endpoint, use_result);
    limit.cancel();
    co_return error == asio::error::connection_refused;
}

} // namespace

std::string_view name_of(crash_sign sign)
{
    switch (sign)
    {
    case crash_sign::broken:
        return "broken";
    case crash_sign::abandoned:
        return "left";
    case crash_sign::refused:
        return "refused";
    case crash_sign::closed:
        return "closed";
    case crash_sign::listed:
        return "listed";
    case crash_sign::reported:
        return "told";
    }
    return "";
}

std::string_view name_of(suspect_kind kind)
{
    return kind == suspect_kind::prompt_part ? "prompt_part" : "request";
}

crash_detector::crash_detector(gateway_state& state)
    : m_state(state)
    , m_unfinished_attempts(max_unfinished_attempts, attempt_retention)
{
    // Many requests that crash an upstream are aborted before the crash. Then
    // only an idle pooled connection, or the next connect, reveals it.
    state.pool.set_failure_listener(
        [this](const upstream_id& server, bool is_refused)
        {
            const auto* entry = m_state.servers.find(server);
            if (entry != nullptr)
            {
                start_probe(*entry, is_refused ? crash_sign::refused
                                               : crash_sign::closed);
            }
        });
}

void crash_detector::record_unfinished_attempt(const server_entry& server,
                                               const suspect_request& request,
                                               absl::Time started)
{
    m_unfinished_attempts.add({server.id, server.started_at},
                              {request, started, gateway_state::now()});
}

void crash_detector::start_probe(const server_entry& server, crash_sign sign)
{
    const server_incarnation instance{server.id, server.started_at};
    if (!is_expected_to_run(server) ||
        !m_unfinished_attempts.has(instance, gateway_state::now()))
    {
        return;
    }
    if (sign == crash_sign::refused)
    {
        asio::co_spawn(
            m_state.context,
            [this, server, sign] { return verify_crash(server, sign); },
            asio::detached);
        return;
    }
    asio::co_spawn(
        m_state.context,
        [this, server, sign] { return probe_port(server, sign); },
        asio::detached);
}

awaitable<void> crash_detector::probe(server_entry server, crash_sign sign)
{
    if (is_expected_to_run(server))
    {
        co_await probe_port(std::move(server), sign);
    }
}

bool crash_detector::is_expected_to_run(const server_entry& server) const
{
    return m_state.servers.is_usable(server.id) &&
           m_state.servers.versions().allows(server.service, server.version);
}

awaitable<void> crash_detector::probe_port(server_entry server, crash_sign sign)
{
    const server_incarnation instance{server.id, server.started_at};
    const auto endpoint = parse_endpoint(server.address);
    if (!endpoint)
    {
        co_return;
    }
    const auto [running_probe, is_first] =
        m_running_probes.try_emplace(instance, false);
    if (!is_first)
    {
        // The result of the running probe may predate this sign.
        running_probe->second = true;
        co_return;
    }
    bool is_crashed = false;
    do
    {
        m_running_probes[instance] = false;
        is_crashed = co_await is_port_closed(m_state.context, *endpoint);
    } while (!is_crashed && m_running_probes[instance]);
    m_running_probes.erase(instance);
    if (is_crashed)
    {
        co_await verify_crash(server, sign);
    }
}

// A cut link of this host refuses connections too.
awaitable<void> crash_detector::verify_crash(server_entry server,
                                             crash_sign sign)
{
    const bool has_failed = co_await m_state.upstreams.has_failed(server);
    if (has_failed)
    {
        handle_crash({server.id, server.started_at}, sign);
    }
}

void crash_detector::start_delayed_probe(const server_entry& server,
                                         const suspect_request& request)
{
    asio::co_spawn(
        m_state.context,
        [this, server, request] { return probe_after_delay(server, request); },
        asio::detached);
}

awaitable<void> crash_detector::probe_after_delay(server_entry server,
                                                  suspect_request request)
{
    boot_timer timer(m_state.context, probe_delay);
    co_await timer.async_wait(use_result);
    co_await probe(server, crash_sign::abandoned);
    m_state.suspects.end(request.fingerprint, server.id);
}

void crash_detector::handle_crash(const server_incarnation& instance,
                                  crash_sign sign)
{
    for (const auto& attempt :
         m_unfinished_attempts.take(instance, gateway_state::now()))
    {
        record_crash_of(instance, attempt, sign);
    }
}

// The run time counts up to the crash, since it is unknown how long an aborted
// request ran on.
void crash_detector::record_crash_of(const server_incarnation& instance,
                                     const unanswered_attempt& attempt,
                                     crash_sign sign)
{
    const auto now = gateway_state::now();
    const auto& request = attempt.request;
    m_state.poison.record_crash(request, instance, now - attempt.began, now);
    m_state.poison_updates.notify();
    const auto* record = m_state.poison.find(request.fingerprint);
    const auto servers = m_state.servers.usable_count(request.service);
    const auto ran_ms = absl::ToInt64Milliseconds(now - attempt.began);
    const auto unfinished_ms = absl::ToInt64Milliseconds(now - attempt.ended);
    log(events::upstream_ended,
        {{"server", instance.server.value()},
         {"born", std::to_string(instance.started_ms.value())},
         {"sign", std::string(name_of(sign))},
         {"print", request.fingerprint.value()},
         {"subject", std::string(name_of(request.kind))},
         {"ends", std::to_string(record->crashes.size())},
         {"weight", std::to_string(m_state.poison.weight(*record, servers))},
         {"ran_ms", std::to_string(ran_ms)},
         {"open_ms", std::to_string(unfinished_ms)}});
}

} // namespace daleshelf
