/// @file
/// The simulated hosts, upstreams, datagrams and callers.
#pragma once

#include "brittle_fleet.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <deque>
#include <functional>
#include <ingress/server_choice.hpp>
#include <memory>
#include <queue>
#include <random>

namespace daleshelf
{

/// A request of a caller.
struct brittle_request
{
    int returns_left = 1; ///< times that its caller retries a rejection
};

/// A simulated upstream; index in the service and number of its incarnation.
struct brittle_server
{
    server_entry entry;
    int generation = 0;
    bool is_running = true;
    int active = 0;
    std::deque<std::function<void()>> waiting; ///< start the queued requests
    std::deque<absl::Time> rejections;         ///< of the last second
    absl::Time started_at;
};

/// A simulated host; null members while it is down.
struct brittle_host
{
    host_id name;
    hall_id hall;
    int hall_number = 0;
    int generation = 0;
    std::unique_ptr<server_directory> servers;
    std::unique_ptr<server_choice> choice;
    /// Upstreams that have advertised to this host that they are brittle.
    absl::flat_hash_set<upstream_id> brittle;
    double retry_tokens = 0;
    std::size_t last_recipient = 0;
};

/// A simulation of one scenario.
class brittle_simulation
{
public:
    brittle_simulation(const brittle_scenario& scenario, std::uint32_t seed);

    [[nodiscard]] brittle_result simulate();

private:
    struct event
    {
        absl::Time at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    /// One request at one host, over all its attempts there.
    struct attempt_state
    {
        std::size_t host = 0;
        int generation = 0;
        brittle_request request;
        absl::flat_hash_set<upstream_id> excluded;
        int failed_connects = 0;
    };
    using attempt_pointer = std::shared_ptr<attempt_state>;

    /// How an attempt ended.
    enum class outcome
    {
        served,
        rejected, ///< by the upstream, for want of room
        refused,  ///< no connection
        broken,   ///< the upstream crashed
    };

    void schedule(absl::Duration after, std::function<void()> run);
    void start_host(std::size_t index);
    void start_server(std::size_t index);
    void crash_server(std::size_t index);
    void list_server(std::size_t index);
    void gossip_loads(std::size_t index);
    void next_request();
    void begin_request(brittle_request request);
    void try_servers(const attempt_pointer& attempt);
    [[nodiscard]] choice_request make_choice(const attempt_pointer& attempt);
    void send(const attempt_pointer& attempt, const server_entry& server);
    void arrive(const attempt_pointer& attempt, std::size_t server,
                const server_entry& entry);
    void run(const attempt_pointer& attempt, std::size_t server,
             const server_entry& entry);
    void finish_one(std::size_t server);
    void reject_at(std::size_t server);
    void respond(const attempt_pointer& attempt, const server_entry& entry,
                 outcome result);
    void handle_response(const attempt_pointer& attempt,
                         const server_entry& entry, outcome result,
                         bool is_brittle);
    void back_off(brittle_host& host, const server_entry& entry);
    void reject(const attempt_pointer& attempt);
    void inject_fault(const brittle_fault& fault);
    void sample_use();
    [[nodiscard]] bool is_current(const attempt_pointer& attempt) const;
    [[nodiscard]] bool is_brittle_now() const;
    [[nodiscard]] bool is_connected(int one_hall, int other_hall) const;
    [[nodiscard]] absl::Duration delay_between(int one_hall, int other_hall);
    [[nodiscard]] bool is_lost();
    [[nodiscard]] int hall_of(std::size_t server) const;
    [[nodiscard]] double random(double from, double to);
    [[nodiscard]] std::size_t random_index(std::size_t count);

    brittle_scenario m_scenario;
    std::mt19937 m_random;
    absl::Time m_start = absl::UnixEpoch() + absl::Hours(1);
    absl::Time m_now = m_start;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<brittle_host> m_hosts;
    std::vector<brittle_server> m_servers;
    absl::flat_hash_map<host_id, std::size_t> m_index;
    request_facts m_facts;
    absl::Time m_cut_until = absl::InfinitePast();
    absl::Time m_lossy_until = absl::InfinitePast();
    absl::Time m_last_rejected_at = absl::InfinitePast();
    double m_used_samples = 0;
    int m_samples = 0;
    brittle_result m_result;
};

} // namespace daleshelf
