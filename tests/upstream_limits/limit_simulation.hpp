/// @file
/// The simulated hosts, datagrams, callers and upstream.
#pragma once

#include "limit_check.hpp"
#include "limit_fleet.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <quotas/shared_quota.hpp>
#include <random>

namespace daleshelf
{

/// Time for the hosts to discover each other before the first request.
inline constexpr absl::Duration warm_up = absl::Seconds(8);

/// The upstream that advertises limits.
inline const upstream_incarnation limited_upstream{upstream_id("limited"),
                                                   upstream_birth(1)};

/// A request that waits for a grant.
struct pending_claim
{
    explicit pending_claim(quota_claim opened) : claim(std::move(opened)) {}

    quota_claim claim;
};

/// A token bucket that starts empty.
class limit_bucket
{
public:
    [[nodiscard]] bool take(double per_second, double capacity, absl::Time now)
    {
        const auto refilled =
            m_refilled_at == absl::InfinitePast()
                ? 0.0
                : absl::ToDoubleSeconds(now - m_refilled_at) * per_second;
        m_tokens = std::min(capacity, m_tokens + refilled);
        m_refilled_at = now;
        const bool is_granted = m_tokens >= 1;
        m_tokens -= is_granted ? 1 : 0;
        return is_granted;
    }

private:
    double m_tokens = 0;
    absl::Time m_refilled_at = absl::InfinitePast();
};

/// A simulated host.
struct limit_host
{
    host_id name;
    hall_id hall;
    int hall_number = 0;
    int generation = 0;
    incarnation host_incarnation;
    bool is_listed = false;
    std::unique_ptr<shared_quota> quota;
    absl::Time frozen_until = absl::InfinitePast();
    absl::Time back_off_until = absl::InfinitePast();
    limit_bucket bucket; ///< of the strategies that the product does not use
    /// Since when it has forwarded responses that advertise a limit.
    absl::Time advertising_since = absl::InfiniteFuture();
    std::size_t last_recipient = 0;
    bool is_gossip_due = false;
    std::map<std::int64_t, std::shared_ptr<pending_claim>> pending;
};

/// A simulation of one scenario.
class limit_simulation
{
public:
    limit_simulation(const limit_scenario& scenario, std::uint32_t seed);

    [[nodiscard]] limit_result simulate();

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

    void schedule(absl::Duration after, std::function<void()> run);
    void schedule_on_host(std::size_t index, absl::Duration after,
                          std::function<void(limit_host&)> run);
    void run_on_host(std::size_t index, int generation,
                     const std::function<void(limit_host&)>& run);
    void send(std::size_t from, std::size_t to,
              std::function<void(limit_host&)> receive);
    void start_host(std::size_t index, bool is_first);
    void read_host_list(limit_host& host, bool is_first);
    void tick(std::size_t index);
    void send_states(std::size_t index);
    void repeat_records(std::size_t index);
    void gossip(std::size_t index);
    void gossip_to(std::size_t from, std::size_t to,
                   const std::vector<limit_record>& records);
    void check_updates(std::size_t index);
    void send_quota(std::size_t from, const addressed_quota_message& message);
    void receive_quota(std::size_t to, const quota_message& message);
    void next_request();
    void start_request(std::size_t index);
    void request_from_owner(std::size_t index, double limit);
    void advance_claim(std::size_t index,
                       const std::shared_ptr<pending_claim>& unfinished);
    void send_request(std::size_t index);
    void arrive(std::size_t index, int generation, absl::Time sent_at);
    void receive_response(limit_host& host, std::size_t index,
                          std::optional<double> limit, absl::Time sent_at);
    void inject_fault(const limit_scenario_fault& fault);
    [[nodiscard]] bool crosses_boundary(int one_hall, int other_hall) const;
    [[nodiscard]] bool is_connected(int one_hall, int other_hall) const;
    [[nodiscard]] double random(double from, double to);
    [[nodiscard]] std::size_t random_host();
    void evaluate();

    limit_scenario m_scenario;
    std::mt19937 m_random;
    absl::Time m_start = absl::UnixEpoch() + absl::Hours(1);
    absl::Time m_now = m_start - warm_up;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<limit_host> m_hosts;
    std::map<host_id, std::size_t> m_index;
    absl::Time m_cut_until = absl::InfinitePast();
    absl::Time m_split_until = absl::InfinitePast();
    absl::Time m_lossy_until = absl::InfinitePast();
    std::vector<limit_arrival> m_arrivals;
    absl::Time m_first_advertised_at = absl::InfiniteFuture();
    std::vector<bool> m_has_learned;
    double m_gossip_bytes = 0;
    double m_exchanges = 0;
    limit_result m_result;
};

} // namespace daleshelf
