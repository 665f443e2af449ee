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
#include <upstream_limits/rejection_limits.hpp>
#include <upstream_limits/shared_slots.hpp>

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
    /// Of the last second, and whether their hosts were in touch.
    std::deque<std::pair<absl::Time, bool>> rejections;
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
    /// Upstreams that have advertised to this host that they are brittle; of
    /// the reactive strategy.
    absl::flat_hash_set<upstream_id> brittle;
    rejection_limits limits;
    std::unique_ptr<shared_slots> slots;
    int known_topology = 0; ///< when its peers were last updated
    bool is_flush_due = false;
    bool is_gossip_due = false;
    absl::Time stopped_at = absl::InfinitePast();
    absl::Time started_at = absl::InfinitePast();
    absl::flat_hash_map<std::int64_t, std::function<void()>> pending;
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
        absl::Time sent_at;
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
    void advance_claim(const attempt_pointer& attempt,
                       const server_entry& server,
                       const std::shared_ptr<slot_claim>& claim);
    void await_reply(const attempt_pointer& attempt, const server_entry& server,
                     const std::shared_ptr<slot_claim>& claim,
                     const addressed_slot_message& request);
    void pass_over(const attempt_pointer& attempt, const server_entry& server);
    void tick(std::size_t index);
    void update_peers(std::size_t index);
    void change_topology(absl::Duration change_time);
    void check_changes(std::size_t index);
    void send_slots(std::size_t from, const addressed_slot_message& message);
    void receive_slots(std::size_t to, const slot_message& message);
    void record_response(std::size_t index, const server_entry& entry,
                         outcome result, bool is_brittle, absl::Time sent_at);
    void gossip_limits(std::size_t index);
    void send_limits(std::size_t from, std::size_t to,
                     const std::vector<limit_record>& records);
    void greet(std::size_t index);
    void apply_limits(std::size_t index);
    void send_to(std::size_t from, std::size_t to,
                 std::function<void(brittle_host&)> receive);
    void run_later(std::size_t index, absl::Duration after,
                   std::function<void(brittle_host&)> run);
    [[nodiscard]] bool seems_reachable(const brittle_host& from,
                                       const brittle_host& to) const;
    [[nodiscard]] std::optional<brittle_upstream>
    brittle_entry(const brittle_host& host, const server_entry& server) const;
    [[nodiscard]] choice_request make_choice(const attempt_pointer& attempt);
    void send(const attempt_pointer& attempt, const server_entry& server);
    void arrive(const attempt_pointer& attempt, std::size_t server,
                const server_entry& entry);
    void run(const attempt_pointer& attempt, std::size_t server,
             const server_entry& entry);
    void finish_one(std::size_t server);
    void reject_at(std::size_t server, bool is_in_touch);
    [[nodiscard]] bool is_in_touch(const brittle_host& host) const;
    void respond(const attempt_pointer& attempt, const server_entry& entry,
                 outcome result);
    void handle_response(const attempt_pointer& attempt,
                         const server_entry& entry, outcome result,
                         bool is_brittle);
    void back_off(brittle_host& host, const server_entry& entry);
    void reject(const attempt_pointer& attempt);
    void inject_fault(const brittle_fault& fault);
    void sample_use();
    [[nodiscard]] bool is_in_subset(const brittle_host& host,
                                    const upstream_id& server) const;
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
    /// Counts changes of the hosts that seem reachable.
    int m_topology = 1;
    absl::Time m_cut_since = absl::InfinitePast();
    absl::Time m_cut_until = absl::InfinitePast();
    absl::Time m_lossy_until = absl::InfinitePast();
    absl::Time m_last_rejected_at = absl::InfinitePast();
    double m_used_samples = 0;
    int m_samples = 0;
    brittle_result m_result;
};

} // namespace daleshelf
