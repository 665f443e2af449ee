#include "peer_exchange.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <base/json.hpp>
#include <base/text.hpp>
#include <base/wall_clock.hpp>
#include <iterator>
#include <peers/datagram_format.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds tick{250};
// The store's calls grow with machines and changes; the pause holds them down.
constexpr milliseconds least_change_pause{50};
constexpr milliseconds most_change_pause{800};
constexpr milliseconds readers_change_pause{400};
constexpr std::size_t largest_datagram = 60000;
// Told on by each, news reaches 580 hosts in four steps: of eight told at
// random by every host one in 3,000 hears none.
constexpr std::size_t told_at_once = 8;
// A new machine counts once its state has gone to all, and a little later.
constexpr absl::Duration join_margin = absl::Seconds(1);

std::string host_part(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

std::string port_part(const std::string& address)
{
    return address.substr(address.rfind(':') + 1);
}

asio::ip::udp::endpoint udp_endpoint(const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        throw std::invalid_argument(address + " is no IP:PORT");
    }
    return {endpoint->address(), endpoint->port()};
}

} // namespace

peer_exchange::peer_exchange(gateway_state& state, followed_topics topics)
    : m_state(state)
    , m_topics(topics)
    , m_list(state, [this](const machine_address& machine)
             { m_table.add_address(machine, gateway_state::now()); })
    , m_table({state.self, state.settings.peers_address, state.hall},
              state.own_incarnation, peer_options())
    , m_socket(state.context, udp_endpoint(state.settings.peers_address))
    , m_server(state.context, state.settings.peers_address,
               [this](const std::string& target)
               { return m_sharing.answer(target); })
    , m_sharing(state, topics, m_table,
                [this](const std::string& address, const std::string& bytes)
                { send_datagram(udp_endpoint(address), bytes); })
{
    m_state.quota.set_sender(
        [this](const host_id& to, const std::string& bytes)
        {
            const auto peer = m_table.peers().find(to);
            if (peer != m_table.peers().end())
            {
                send_datagram(udp_endpoint(peer->second.address), bytes);
            }
        });
    // All gateways use the same ports: a seed's IP number is enough. Until a
    // seed is heard its address stands for its name.
    for (const auto& seed : state.settings.peer_seeds)
    {
        const auto address = concat(host_part(seed), ":",
                                    port_part(state.settings.peers_address));
        m_table.add_address({host_id(address), address}, gateway_state::now());
    }
}

void peer_exchange::start()
{
    m_server.start();
    asio::co_spawn(
        m_state.context, [this] { return receive_all(); }, asio::detached);
    asio::co_spawn(
        m_state.context, [this] { return send_all(); }, asio::detached);
    asio::co_spawn(
        m_state.context, [this] { return m_list.publish_self(); },
        asio::detached);
}

bool peer_exchange::hears_duty_holder() const
{
    const auto now = gateway_state::now();
    // The candidates hear a holder each tick, whatever the size of the fleet.
    const bool is_follower = m_state.role == list_role::follower;
    for (const auto& [name, peer] : m_table.peers())
    {
        const bool is_heard = is_follower ? m_table.is_in_reach(name, now)
                                          : m_table.is_heard_lately(name, now);
        if (is_heard && peer.state.duty_token >= 0 &&
            peer.state.duty_holder == name)
        {
            return true;
        }
    }
    return false;
}

void peer_exchange::ask_counts(std::int64_t window,
                               const std::vector<host_id>& machines)
{
    window_counts question;
    question.from = {m_state.self, m_state.own_incarnation};
    question.window = window;
    question.is_question = true;
    const auto bytes = encode(question);
    for (const auto& machine : machines)
    {
        const auto peer = m_table.peers().find(machine);
        if (peer != m_table.peers().end())
        {
            send_datagram(udp_endpoint(peer->second.address), bytes);
        }
    }
}

void peer_exchange::tell_all(const std::string& bytes)
{
    for (const auto& [name, peer] : m_table.peers())
    {
        send_datagram(udp_endpoint(peer.address), bytes);
    }
}

std::vector<host_id> peer_exchange::machines(bool is_in_reach) const
{
    const auto now = gateway_state::now();
    std::vector<host_id> machines;
    for (const auto& [name, peer] : m_table.peers())
    {
        if (!is_in_reach || m_table.is_in_reach(name, now))
        {
            machines.push_back(name);
        }
    }
    return machines;
}

std::map<host_id, told_work>
peer_exchange::work_of_all(const service_name& service) const
{
    std::map<host_id, told_work> work;
    // Whoever has sent nothing yet begins at nothing: its first work counts.
    auto& own = work[m_state.self];
    own.told_at = gateway_state::now();
    const auto load = m_state.loads.find(service);
    if (load != m_state.loads.end())
    {
        own.work = load->second.work;
    }
    for (const auto& [name, peer] : m_table.peers())
    {
        if (peer.heard_at == absl::InfinitePast())
        {
            continue;
        }
        auto& told = work[name];
        told.told_at = peer.heard_at;
        for (const auto& sent : peer.state.services)
        {
            if (sent.service == service)
            {
                told.work = sent.work;
            }
        }
    }
    return work;
}

awaitable<void> peer_exchange::receive_all()
{
    std::vector<char> bytes(largest_datagram);
    asio::ip::udp::endpoint sender;
    while (true)
    {
        const auto [error, size] = co_await m_socket.async_receive_from(
            asio::mutable_buffer(bytes.data(), bytes.size()), sender,
            use_result);
        if (!error)
        {
            receive({bytes.data(), size}, sender);
        }
    }
}

awaitable<void> peer_exchange::send_all()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        const auto now = gateway_state::now();
        for (const auto& peer : m_table.forget_silent(now))
        {
            log(events::peer_lost, {{"peer", peer.value()}});
            m_state.choice.drop_peer(peer);
            m_state.engines.drop_peer(peer);
            m_state.clock.forget(peer);
        }
        log_joined();
        m_state.clock.note(m_state.self, wall_time(), now);
        m_state.quota.shared().set_join_time(m_table.send_pause() +
                                             join_margin);
        m_state.quota.tick();
        m_state.engines.refresh();
        m_state.retries.set_hosts(m_state.quota.shared().counted_hosts(now));
        m_state.change_batch_delay =
            std::clamp(absl::ToChronoMilliseconds(m_table.send_pause() / 3),
                       least_change_pause,
                       m_state.role == list_role::reader ? readers_change_pause
                                                         : most_change_pause);
        m_sharing.choose_role();
        const auto bytes = encode(own_state());
        send_to_some(bytes);
        send_to_candidates(bytes);
        m_sharing.fetch_news();
        timer.expires_after(tick +
                            milliseconds(absl::Uniform(m_state.random, 0, 20)));
        co_await timer.async_wait(use_result);
    }
}

// One line for all that were heard first since the last tick.
void peer_exchange::log_joined()
{
    if (m_joined.is_empty())
    {
        return;
    }
    log(events::peer_joined, {{"count", std::to_string(m_joined.count())},
                              {"peers", m_joined.names()}});
    m_joined.clear();
}

// A datagram that cannot be sent is one that is lost: others follow.
void peer_exchange::send_datagram(const asio::ip::udp::endpoint& to,
                                  const std::string& bytes)
{
    error_code ignored;
    m_socket.send_to(asio::const_buffer(bytes.data(), bytes.size()), to, 0,
                     ignored);
}

// Sends to each peer in its turn: a datagram to all at once would fill the
// links of small machines.
void peer_exchange::send_to_some(const std::string& bytes)
{
    for (const auto& address : m_table.next_in_turn())
    {
        send_datagram(udp_endpoint(address), bytes);
    }
}

// Those that may take the duties over hear the holder, and one another, each
// tick: the lease of a holder that is gone is missed within 1.5 s.
void peer_exchange::send_to_candidates(const std::string& bytes)
{
    const bool has_word = m_duty.token >= 0 || m_duty.released_token >= 0;
    if (m_table.tells_all_at_once() ||
        (m_state.role != list_role::reader && !has_word))
    {
        return;
    }
    for (const auto& name : m_table.readers_elsewhere(gateway_state::now()))
    {
        send_datagram(udp_endpoint(m_table.peers().at(name).address), bytes);
    }
}

void peer_exchange::receive(std::string_view bytes,
                            const asio::ip::udp::endpoint& sender)
{
    switch (format_of(bytes))
    {
    case datagram_format::state:
        receive_state(bytes);
        return;
    case datagram_format::quota:
        if (const auto message = decode_quota_message(bytes))
        {
            const auto reply = m_state.quota.receive(*message);
            if (m_state.quota.shared().limits().has_updates())
            {
                m_state.limit_updates.notify();
            }
            if (!reply.empty())
            {
                send_datagram(sender, reply);
            }
        }
        return;
    case datagram_format::counts:
        receive_counts(bytes, sender);
        return;
    case datagram_format::rollout_word:
    case datagram_format::rollout_report:
        if (m_on_rollout)
        {
            const auto reply = m_on_rollout(bytes);
            if (!reply.empty())
            {
                send_datagram(sender, reply);
            }
        }
        return;
    case datagram_format::records:
        if (const auto read = decode_shared_records(bytes))
        {
            m_sharing.take_read(*read);
        }
        return;
    case datagram_format::poison:
        if (m_on_poison)
        {
            m_on_poison(bytes);
        }
        return;
    case datagram_format::limits:
        if (m_on_limits)
        {
            m_on_limits(bytes);
        }
        return;
    case datagram_format::none:
        return;
    }
}

void peer_exchange::tell_one(const std::string& address,
                             const std::string& bytes)
{
    send_datagram(udp_endpoint(address), bytes);
}

void peer_exchange::tell_some(const std::string& bytes)
{
    send_to_random(told_at_once, bytes);
}

void peer_exchange::tell_any(const std::string& bytes)
{
    send_to_random(1, bytes);
}

void peer_exchange::send_to_random(std::size_t count, const std::string& bytes)
{
    std::vector<std::string> addresses;
    for (const auto& [name, peer] : m_table.peers())
    {
        addresses.push_back(peer.address);
    }
    std::vector<std::string> some;
    std::sample(addresses.begin(), addresses.end(), std::back_inserter(some),
                count, m_state.random);
    for (const auto& address : some)
    {
        send_datagram(udp_endpoint(address), bytes);
    }
}

} // namespace daleshelf
