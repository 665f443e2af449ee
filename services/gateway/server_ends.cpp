#include "server_ends.hpp"

#include "gateway_state.hpp"

#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

// What is let go runs on for some 0.1 s at most servers; others show the end
// of a busy one within that time again.
constexpr absl::Duration open_time = absl::Seconds(2);
// Of 0.3 KB each: two seconds of 250 requests that are let go.
constexpr std::size_t most_open = 512;
// A port that nobody listens on answers within a round trip.
constexpr milliseconds check_time{300};
// In which a server that drops what is let go has ended or lives on.
constexpr milliseconds ask_pause{250};

// @return whether the port refuses connections
awaitable<bool> is_port_closed(asio::io_context& context,
                               asio::ip::tcp::endpoint endpoint)
{
    asio::ip::tcp::socket socket(context);
    boot_timer limit(context, check_time);
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

std::string_view name_of(end_sign sign)
{
    switch (sign)
    {
    case end_sign::broken:
        return "broken";
    case end_sign::left:
        return "left";
    case end_sign::refused:
        return "refused";
    case end_sign::closed:
        return "closed";
    case end_sign::listed:
        return "listed";
    case end_sign::told:
        return "told";
    }
    return "";
}

server_ends::server_ends(gateway_state& state)
    : m_state(state), m_open(most_open, open_time)
{
    // Many requests that end a server are let go before: what shows its end is
    // then a connection that waits for the next request, or that next one.
    state.pool.set_end_listener(
        [this](const upstream_id& server, bool is_refused)
        {
            const auto* entry = m_state.servers.find(server);
            if (entry != nullptr)
            {
                ask_soon(*entry,
                         is_refused ? end_sign::refused : end_sign::closed);
            }
        });
}

void server_ends::note_open(const server_entry& server,
                            const suspect_request& request, absl::Time began)
{
    m_open.add({server.id, server.started_at},
               {request, began, gateway_state::now()});
}

void server_ends::ask_soon(const server_entry& server, end_sign sign)
{
    const server_incarnation life{server.id, server.started_at};
    if (!was_to_stay(server) || !m_open.has(life, gateway_state::now()))
    {
        return;
    }
    if (sign == end_sign::refused)
    {
        note_over(life, sign);
        return;
    }
    asio::co_spawn(
        m_state.context,
        [this, server, sign] { return ask_port(server, sign); },
        asio::detached);
}

awaitable<void> server_ends::ask(server_entry server, end_sign sign)
{
    if (was_to_stay(server))
    {
        co_await ask_port(std::move(server), sign);
    }
}

bool server_ends::was_to_stay(const server_entry& server) const
{
    return m_state.servers.is_usable(server.id) &&
           m_state.servers.versions().allows(server.service, server.version);
}

awaitable<void> server_ends::ask_port(server_entry server, end_sign sign)
{
    const server_incarnation life{server.id, server.started_at};
    const auto endpoint = parse_endpoint(server.address);
    if (!endpoint)
    {
        co_return;
    }
    const auto [asked, is_first] = m_asked.try_emplace(life, false);
    if (!is_first)
    {
        // The answer under way may be older than this sign.
        asked->second = true;
        co_return;
    }
    bool is_over = false;
    do
    {
        m_asked[life] = false;
        is_over = co_await is_port_closed(m_state.context, *endpoint);
    } while (!is_over && m_asked[life]);
    m_asked.erase(life);
    if (is_over)
    {
        note_over(life, sign);
    }
}

void server_ends::ask_later(const server_entry& server,
                            const suspect_request& request)
{
    asio::co_spawn(
        m_state.context,
        [this, server, request] { return wait_and_ask(server, request); },
        asio::detached);
}

awaitable<void> server_ends::wait_and_ask(server_entry server,
                                          suspect_request request)
{
    boot_timer timer(m_state.context, ask_pause);
    co_await timer.async_wait(use_result);
    co_await ask(server, end_sign::left);
    m_state.suspects.end(request.fingerprint, server.id);
}

void server_ends::note_over(const server_incarnation& life, end_sign sign)
{
    for (const auto& attempt : m_open.take(life, gateway_state::now()))
    {
        note_end(life, attempt, sign);
    }
}

// How long it was there counts to the end, since how long it ran on after it
// was let go is not known.
void server_ends::note_end(const server_incarnation& life,
                           const unanswered_attempt& attempt, end_sign sign)
{
    const auto now = gateway_state::now();
    const auto& request = attempt.request;
    m_state.poison.record_crash(request, life, now - attempt.began, now);
    m_state.poison_updates.notify();
    const auto* record = m_state.poison.find(request.fingerprint);
    const auto servers = m_state.servers.usable(request.service).size();
    const auto ran_ms = absl::ToInt64Milliseconds(now - attempt.began);
    const auto open_ms = absl::ToInt64Milliseconds(now - attempt.ended);
    log(events::upstream_ended,
        {{"server", life.server.value()},
         {"born", std::to_string(life.started_ms.value())},
         {"sign", std::string(name_of(sign))},
         {"print", request.fingerprint.value()},
         {"ends", std::to_string(record->crashes.size())},
         {"weight", std::to_string(m_state.poison.weight(*record, servers))},
         {"ran_ms", std::to_string(ran_ms)},
         {"open_ms", std::to_string(open_ms)}});
}

} // namespace daleshelf
