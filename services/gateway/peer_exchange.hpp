/// @file
/// Exchange of state between this gateway and its peers.
#pragma once

#include "gateway_state.hpp"
#include "host_list.hpp"
#include "simple_http_server.hpp"
#include "topic_sharing.hpp"
#include "tunnel.hpp"

#include <functional>
#include <peers/peer_table.hpp>
#include <scaling/demand_meter.hpp>
#include <telemetry/name_batch.hpp>

namespace daleshelf
{

/// The lease of the duties, as this host announces it to its peers.
struct duty_state
{
    host_id holder;
    std::int64_t token = -1;
    std::int64_t released_token = -1; ///< token last released by this host
};

/// Sends this host's state to its peers by datagrams, a few times a second, and
/// receives theirs. Also dispatches the datagrams of quotas, usage counts,
/// roll-outs, poison requests, upstream limits and shared records.
class peer_exchange
{
public:
    peer_exchange(gateway_state& state, followed_topics topics);

    void start();

    /// Sends records that were just read from the store to the hosts of this
    /// hall, if this host is a reader.
    /// @param topic name of the topic
    /// @param from offset of the first record
    /// @param records consecutive records
    void share_records(const std::string& topic, log_offset from,
                       const std::vector<platform::keyed_record>& records)
    {
        m_sharing.share_records(topic, from, records);
    }

    /// Fetches the records of a topic that this host lacks from hosts of this
    /// hall.
    /// @return whether nothing is missing any more
    awaitable<bool> catch_up(std::string topic)
    {
        return m_sharing.catch_up(std::move(topic));
    }

    [[nodiscard]] const peer_table& table() const
    {
        return m_table;
    }

    /// Sets the lease of the duties that is announced to peers.
    void set_duty(const duty_state& duty)
    {
        m_duty = duty;
    }

    /// @return whether a reachable peer announces that it holds the duties
    [[nodiscard]] bool is_duty_holder_reachable() const;

    /// @return whether readers, which also watch the lease, read the store for
    /// this host
    [[nodiscard]] bool has_active_readers() const
    {
        return m_topics.servers.is_served_by_readers();
    }

    /// Requests the counts of a usage window from hosts.
    /// @param window id of the window
    /// @param hosts the hosts to ask; unknown ones are ignored
    void request_counts(std::int64_t window, const std::vector<host_id>& hosts);

    /// Sets the callback for a host that has reported its counts of a window.
    void set_counts_listener(
        std::function<void(std::int64_t window, const host_id& host)> on_counts)
    {
        m_on_counts = std::move(on_counts);
    }

    /// Sends a datagram to every peer.
    void broadcast(const std::string& bytes);

    /// Sends a datagram to a random sample of peers, which forward it.
    void send_to_sample(const std::string& bytes);

    /// Sends a datagram to one random peer.
    void send_to_random_peer(const std::string& bytes);

    /// Sends a datagram to the peer with this address.
    void send_to_peer(const std::string& address, const std::string& bytes);

    /// Adds a callback for the first state received from an incarnation of a
    /// peer.
    /// @param on_start called with the peer's address
    void add_start_listener(std::function<void(const std::string&)> on_start)
    {
        m_on_peer_start.push_back(std::move(on_start));
    }

    /// Sets the callback for datagrams with limits of upstreams.
    void set_limit_listener(std::function<void(std::string_view)> on_limits)
    {
        m_on_limits = std::move(on_limits);
    }

    /// Sets the callback for datagrams with loads of upstreams.
    void set_load_listener(std::function<void(std::string_view)> on_loads)
    {
        m_on_loads = std::move(on_loads);
    }

    /// Sends a datagram to a known peer.
    void send_to_host(const host_id& host, const std::string& bytes);

    /// Sets the callback for datagrams about requests that may crash upstreams.
    void set_poison_listener(std::function<void(std::string_view)> on_poison)
    {
        m_on_poison = std::move(on_poison);
    }

    /// Sets the callback for orders and reports of roll-outs.
    /// @param on_rollout returns the bytes of a response to the sender, or none
    void set_rollout_listener(
        std::function<std::string(std::string_view)> on_rollout)
    {
        m_on_rollout = std::move(on_rollout);
    }

    /// @param is_reachable_only whether unreachable peers are left out
    /// @return the known peers
    [[nodiscard]] std::vector<host_id> hosts(bool is_reachable_only) const;

    /// @return tunnels that peers have open through this host
    [[nodiscard]] std::int64_t open_tunnels() const
    {
        return m_tunnels.open_count();
    }

    /// @return peers that may relay connections to upstreams, in random order
    [[nodiscard]] std::vector<relay_peer> relay_peers() const;

    /// @return work of the requests to the service through each host since its
    /// start, in milliseconds of upstream time
    [[nodiscard]] std::map<host_id, reported_work>
    fleet_work(const service_name& service) const;

private:
    static constexpr std::size_t max_joined_names = 8;

    awaitable<void> receive_all();
    awaitable<void> send_all();
    void receive_safely(std::string_view bytes,
                        const asio::ip::udp::endpoint& sender);
    void receive(std::string_view bytes, const asio::ip::udp::endpoint& sender);
    void log_joined();
    void receive_state(std::string_view bytes);
    void receive_counts(std::string_view bytes,
                        const asio::ip::udp::endpoint& sender);
    void apply(const host_state& state);
    void send_datagram(const std::string& address, const std::string& bytes);
    void send_datagram(const asio::ip::udp::endpoint& to,
                       const std::string& bytes);
    void send_to_next_targets(const std::string& bytes);
    void send_to_candidates(const std::string& bytes);
    void send_to_random(std::size_t count, const std::string& bytes);
    [[nodiscard]] std::vector<keeper_candidate> keeper_candidates() const;
    [[nodiscard]] std::vector<slot_host> slot_hosts() const;
    [[nodiscard]] known_server_list server_list() const;
    [[nodiscard]] host_state own_state();
    [[nodiscard]] std::int64_t store_answer_age_ms() const;
    [[nodiscard]] std::vector<host_address> next_known_hosts();

    gateway_state& m_state;
    followed_topics m_topics;
    host_list m_list;
    peer_table m_table;
    asio::ip::udp::socket m_socket;
    simple_http_server m_server;
    topic_sharing m_sharing;
    tunnel_server m_tunnels;
    std::function<void(std::int64_t, const host_id&)> m_on_counts;
    std::function<std::string(std::string_view)> m_on_rollout;
    std::function<void(std::string_view)> m_on_poison;
    std::function<void(std::string_view)> m_on_limits;
    std::function<void(std::string_view)> m_on_loads;
    std::vector<std::function<void(const std::string&)>> m_on_peer_start;
    duty_state m_duty;
    /// Peers that joined since the last tick.
    name_batch m_joined{max_joined_names};
    std::int64_t m_sequence = 0;
    host_id m_last_announced;
};

} // namespace daleshelf
