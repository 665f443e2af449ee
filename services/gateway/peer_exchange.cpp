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

constexpr milliseconds tick_interval{250};
// The calls to the store grow with the number of hosts and of changes; this
// pause after each call bounds them.
constexpr milliseconds min_change_pause{50};
constexpr milliseconds max_change_pause{800};
constexpr milliseconds readers_change_pause{400};
constexpr std::size_t max_datagram_size = 60000;
// If every host forwards an update to eight random peers, it reaches 580 hosts
// in four hops, and one host in 3,000 receives none.
constexpr std::size_t gossip_fanout = 8;
// A new host counts once its state has been sent to all peers, and this margin
// later.
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
        throw std::invalid_argument(address +
                                    " is not an address of the form IP:PORT");
    }
    return {endpoint->address(), endpoint->port()};
}

} // namespace

peer_exchange::peer_exchange(gateway_state& state, followed_topics topics)
    : m_state(state)
    , m_topics(topics)
    , m_list(state, [this](const host_address& host)
             { m_table.add_address(host, gateway_state::now()); })
    , m_table({state.self, state.settings.peers_address, state.hall},
              state.own_incarnation, peer_options())
    , m_socket(state.context, udp_endpoint(state.settings.peers_address))
    , m_server(state.context, state.settings.peers_address,
               [this](const std::string& target)
               { return m_sharing.respond(target); })
    , m_sharing(state, topics, m_table,
                [this](const std::string& address, const std::string& bytes)
                { send_datagram(address, bytes); })
    , m_tunnels(state)
{
    m_server.set_tunnel_handler(
        [this](request_head head, std::shared_ptr<byte_channel> channel)
        { return m_tunnels.serve(std::move(head), std::move(channel)); });
    m_state.upstreams.set_peers([this] { return relay_peers(); });
    const auto send = [this](const host_id& to, const std::string& bytes)
    { send_to_host(to, bytes); };
    m_state.quota.set_sender(send);
    m_state.slots.set_sender(send);
    origin_peers origin_access;
    origin_access.candidates = [this] { return keeper_candidates(); };
    origin_access.send = [this](const host_id& to, const std::string& bytes)
    { send_to_host(to, bytes); };
    origin_access.confirm_server_list = [this]
    { return m_topics.servers.confirm(); };
    origin_access.server_list = [this] { return server_list(); };
    m_state.origins.set_peers(std::move(origin_access));
    // All gateways use the same ports, so a seed's IP address is enough. Until
    // a seed has sent its state, its address is used as its name.
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

bool peer_exchange::is_duty_holder_reachable() const
{
    const auto now = gateway_state::now();
    // Candidates receive the holder's state at every tick, whatever the size of
    // the fleet.
    const bool is_follower = m_state.role == list_role::follower;
    for (const auto& [name, peer] : m_table.peers())
    {
        const bool is_recent = is_follower
                                   ? m_table.is_reachable(name, now)
                                   : m_table.is_heard_recently(name, now);
        if (is_recent && peer.state.duty_token >= 0 &&
            peer.state.duty_holder == name)
        {
            return true;
        }
    }
    return false;
}

void peer_exchange::request_counts(std::int64_t window,
                                   const std::vector<host_id>& hosts)
{
    window_counts question;
    question.from = {m_state.self, m_state.own_incarnation};
    question.window = window;
    question.is_request = true;
    const auto bytes = encode(question);
    for (const auto& host : hosts)
    {
        const auto peer = m_table.peers().find(host);
        if (peer != m_table.peers().end())
        {
            send_datagram(peer->second.address, bytes);
        }
    }
}

void peer_exchange::broadcast(const std::string& bytes)
{
    for (const auto& [name, peer] : m_table.peers())
    {
        send_datagram(peer.address, bytes);
    }
}

std::vector<host_id> peer_exchange::hosts(bool is_reachable_only) const
{
    const auto now = gateway_state::now();
    std::vector<host_id> hosts;
    for (const auto& [name, peer] : m_table.peers())
    {
        if (!is_reachable_only || m_table.is_reachable(name, now))
        {
            hosts.push_back(name);
        }
    }
    return hosts;
}

std::map<host_id, reported_work>
peer_exchange::fleet_work(const service_name& service) const
{
    std::map<host_id, reported_work> work;
    // A host that has sent nothing yet starts at zero, so that its first work
    // is counted.
    auto& own = work[m_state.self];
    own.reported_at = gateway_state::now();
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
        auto& reported = work[name];
        reported.reported_at = peer.heard_at;
        for (const auto& sent : peer.state.services)
        {
            if (sent.service == service)
            {
                reported.work = sent.work;
            }
        }
    }
    return work;
}

awaitable<void> peer_exchange::receive_all()
{
    std::vector<char> bytes(max_datagram_size);
    asio::ip::udp::endpoint sender;
    while (true)
    {
        const auto [error, size] = co_await m_socket.async_receive_from(
            asio::mutable_buffer(bytes.data(), bytes.size()), sender,
            use_result);
        if (!error)
        {
            receive_safely({bytes.data(), size}, sender);
        }
    }
}

awaitable<void> peer_exchange::send_all()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        const auto now = gateway_state::now();
        for (const auto& peer : m_table.evict_silent(now))
        {
            log(events::peer_lost, {{"peer", peer.value()}});
            m_state.choice.loads().drop_peer(peer);
            m_state.engines.drop_peer(peer);
            m_state.clock.remove(peer);
        }
        log_joined();
        m_state.clock.update(m_state.self, wall_time(), now);
        m_state.quota.shared().set_join_delay(m_table.send_interval() +
                                              join_margin);
        m_state.quota.tick();
        m_state.slots.tick(slot_hosts());
        m_state.engines.refresh();
        m_state.retries.set_hosts(m_state.quota.shared().fleet_size_bound(now));
        m_state.change_batch_delay =
            std::clamp(absl::ToChronoMilliseconds(m_table.send_interval() / 3),
                       min_change_pause,
                       m_state.role == list_role::reader ? readers_change_pause
                                                         : max_change_pause);
        m_sharing.choose_role();
        const auto bytes = encode(own_state());
        send_to_next_targets(bytes);
        send_to_candidates(bytes);
        m_sharing.fetch_newer_records();
        timer.expires_after(tick_interval +
                            milliseconds(absl::Uniform(m_state.random, 0, 20)));
        co_await timer.async_wait(use_result);
    }
}

// Logs in one line all peers that joined since the last tick.
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

// Peers that state an unreadable address get nothing.
void peer_exchange::send_datagram(const std::string& address,
                                  const std::string& bytes)
{
    if (const auto endpoint = parse_endpoint(address))
    {
        send_datagram(
            asio::ip::udp::endpoint(endpoint->address(), endpoint->port()),
            bytes);
    }
}

// A datagram that cannot be sent is treated as lost: later ones replace it.
void peer_exchange::send_datagram(const asio::ip::udp::endpoint& to,
                                  const std::string& bytes)
{
    error_code ignored;
    m_socket.send_to(asio::const_buffer(bytes.data(), bytes.size()), to, 0,
                     ignored);
}

// Sends to the peers in turn: sending to all at once would fill the links of
// small hosts.
void peer_exchange::send_to_next_targets(const std::string& bytes)
{
    for (const auto& address : m_table.next_targets())
    {
        send_datagram(address, bytes);
    }
}

// Sends this host's state at every tick to the candidates for the duties, if it
// is one of them or has a token to announce, held or released. The candidates
// so detect within 1.5 s that a holder has crashed.
void peer_exchange::send_to_candidates(const std::string& bytes)
{
    const bool has_token = m_duty.token >= 0 || m_duty.released_token >= 0;
    if (m_table.sends_to_all_peers() ||
        (m_state.role != list_role::reader && !has_token))
    {
        return;
    }
    for (const auto& name : m_table.other_readers(gateway_state::now()))
    {
        send_datagram(m_table.peers().at(name).address, bytes);
    }
}

// A fault in one datagram must not end the loop: the host would hear of no peer
// any more.
void peer_exchange::receive_safely(std::string_view bytes,
                                   const asio::ip::udp::endpoint& sender)
{
    try
    {
        receive(bytes, sender);
    }
    catch (const std::exception& error)
    {
        log(events::unexpected_error, {{"error", error.what()}});
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
            m_sharing.receive_records(*read, bytes);
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
    case datagram_format::loads:
        if (m_on_loads)
        {
            m_on_loads(bytes);
        }
        return;
    case datagram_format::origins:
    {
        const auto reply = m_state.origins.receive(bytes);
        if (!reply.empty())
        {
            send_datagram(sender, reply);
        }
        return;
    }
    case datagram_format::slots:
    {
        const auto reply = m_state.slots.receive(bytes);
        if (!reply.empty())
        {
            send_datagram(sender, reply);
        }
        return;
    }
    case datagram_format::none:
        return;
    }
}

void peer_exchange::send_to_host(const host_id& host, const std::string& bytes)
{
    const auto peer = m_table.peers().find(host);
    if (peer != m_table.peers().end())
    {
        send_datagram(peer->second.address, bytes);
    }
}

// A host whose hall is not known yet cannot be ranked.
std::vector<keeper_candidate> peer_exchange::keeper_candidates() const
{
    const auto uptime_of = [now = m_state.time_of_day()](incarnation started)
    { return now - absl::FromUnixMillis(started.value()); };
    std::vector<keeper_candidate> candidates{
        {m_state.self, m_state.hall, uptime_of(m_state.own_incarnation)}};
    for (const auto& [name, peer] : m_table.peers())
    {
        if (peer.state.hall.value().empty())
        {
            continue;
        }
        const bool is_heard = peer.heard_at != absl::InfinitePast();
        candidates.push_back(
            {name, peer.state.hall,
             is_heard ? uptime_of(peer.state.started) : absl::ZeroDuration()});
    }
    return candidates;
}

known_server_list peer_exchange::server_list() const
{
    return {
        m_topics.servers.next(),
        absl::FromChrono(monotonic::now() - m_topics.servers.complete_as_of())};
}

void peer_exchange::send_to_peer(const std::string& address,
                                 const std::string& bytes)
{
    send_datagram(address, bytes);
}

void peer_exchange::send_to_sample(const std::string& bytes)
{
    send_to_random(gossip_fanout, bytes);
}

void peer_exchange::send_to_random_peer(const std::string& bytes)
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
        send_datagram(address, bytes);
    }
}

} // namespace daleshelf
