/// @file
/// What this gateway and the others tell each other.
#pragma once

#include "gateway_state.hpp"
#include "host_list.hpp"
#include "simple_http_server.hpp"
#include "topic_sharing.hpp"

#include <functional>
#include <peers/peer_table.hpp>
#include <scaling/demand_meter.hpp>
#include <telemetry/name_batch.hpp>

namespace daleshelf
{

/// Who holds the duties, as this machine tells its peers.
struct duty_state
{
    host_id holder;
    std::int64_t token = -1;
    std::int64_t released_token = -1; ///< that this host gave up last
};

/// Sends this machine's state to every peer a few times a second, by
/// datagrams, and takes theirs, with those of quotas and of what was read.
class peer_exchange
{
public:
    peer_exchange(gateway_state& state, followed_topics topics);

    void start();

    /// Tells the machines of this hall what has just been read from the store.
    void tell_read(const std::string& topic, log_offset from,
                   const std::vector<platform::keyed_record>& records)
    {
        m_sharing.tell_read(topic, from, records);
    }

    [[nodiscard]] const peer_table& table() const
    {
        return m_table;
    }

    /// Sets what is told of the duties.
    void set_duty(const duty_state& duty)
    {
        m_duty = duty;
    }

    /// @return whether a peer in reach says that it holds the duties
    [[nodiscard]] bool hears_duty_holder() const;

    /// @return whether machines that watch the lease read for this one
    [[nodiscard]] bool hears_readers() const
    {
        return m_topics.servers.is_told();
    }

    /// Asks machines for their counts of a usage window.
    void ask_counts(std::int64_t window, const std::vector<host_id>& machines);

    /// Sets who is told that a machine has told its counts of a window.
    void set_counts_listener(
        std::function<void(std::int64_t window, const host_id& machine)> told)
    {
        m_on_counts_told = std::move(told);
    }

    /// Sends a datagram to every peer.
    void tell_all(const std::string& bytes);

    /// Sends a datagram to a few peers, others at each call, who tell it on.
    void tell_some(const std::string& bytes);

    /// Sends a datagram to one peer at random.
    void tell_any(const std::string& bytes);

    /// Sends a datagram to one peer.
    void tell_one(const std::string& address, const std::string& bytes);

    /// Adds a listener for the first message of a peer since its start.
    void add_start_listener(std::function<void(const std::string&)> started)
    {
        m_on_peer_start.push_back(std::move(started));
    }

    /// Sets who takes limits of upstreams.
    void set_limit_listener(std::function<void(std::string_view)> take)
    {
        m_on_limits = std::move(take);
    }

    /// Sets who takes words of requests that may end servers.
    void set_poison_listener(std::function<void(std::string_view)> take)
    {
        m_on_poison = std::move(take);
    }

    /// Sets who takes words and reports of roll-outs.
    /// @param take returns the bytes of an answer to the sender, or none
    void set_rollout_listener(std::function<std::string(std::string_view)> take)
    {
        m_on_rollout = std::move(take);
    }

    /// @return machines that may be asked; those in reach alone, or all
    [[nodiscard]] std::vector<host_id> machines(bool is_in_reach) const;

    /// @return work asked for through all machines since their starts, in
    /// milliseconds of servers
    [[nodiscard]] std::map<host_id, told_work>
    work_of_all(const service_name& service) const;

private:
    static constexpr std::size_t most_joined_named = 8;

    awaitable<void> receive_all();
    awaitable<void> send_all();
    void receive(std::string_view bytes, const asio::ip::udp::endpoint& sender);
    void log_joined();
    void receive_state(std::string_view bytes);
    void receive_counts(std::string_view bytes,
                        const asio::ip::udp::endpoint& sender);
    void apply(const host_state& state);
    void send_datagram(const asio::ip::udp::endpoint& to,
                       const std::string& bytes);
    void send_to_some(const std::string& bytes);
    void send_to_candidates(const std::string& bytes);
    void send_to_random(std::size_t count, const std::string& bytes);
    [[nodiscard]] host_state own_state();
    [[nodiscard]] std::int64_t store_answer_age_ms() const;
    [[nodiscard]] std::vector<host_address> some_machines();

    gateway_state& m_state;
    followed_topics m_topics;
    host_list m_list;
    peer_table m_table;
    asio::ip::udp::socket m_socket;
    simple_http_server m_server;
    topic_sharing m_sharing;
    std::function<void(std::int64_t, const host_id&)> m_on_counts_told;
    std::function<std::string(std::string_view)> m_on_rollout;
    std::function<void(std::string_view)> m_on_poison;
    std::function<void(std::string_view)> m_on_limits;
    std::vector<std::function<void(const std::string&)>> m_on_peer_start;
    duty_state m_duty;
    /// Peers heard first since the last tick.
    name_batch m_joined{most_joined_named};
    std::int64_t m_sequence = 0;
    host_id m_last_named;
};

} // namespace daleshelf
