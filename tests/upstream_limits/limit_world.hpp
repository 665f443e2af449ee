/// @file
/// The world of the model: hosts, datagrams, callers, the upstream.
#pragma once

#include "limit_fleet.hpp"
#include "limit_judge.hpp"

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

/// Hosts have that long for each other before the first request.
inline constexpr absl::Duration lead = absl::Seconds(8);

/// The upstream that names limits.
inline const upstream_incarnation limited_upstream{upstream_id("limited"),
                                                   upstream_birth(1)};

/// One request that waits for its part of the limit.
struct waiting_claim
{
    explicit waiting_claim(quota_claim opened) : claim(std::move(opened)) {}

    quota_claim claim;
};

/// A token bucket that begins empty.
class limit_bucket
{
public:
    [[nodiscard]] bool take(double per_second, double most, absl::Time now)
    {
        const auto earned =
            m_filled_at == absl::InfinitePast()
                ? 0.0
                : absl::ToDoubleSeconds(now - m_filled_at) * per_second;
        m_tokens = std::min(most, m_tokens + earned);
        m_filled_at = now;
        const bool is_granted = m_tokens >= 1;
        m_tokens -= is_granted ? 1 : 0;
        return is_granted;
    }

private:
    double m_tokens = 0;
    absl::Time m_filled_at = absl::InfinitePast();
};

/// One host of the model.
struct limit_host
{
    host_id name;
    hall_id hall;
    int hall_number = 0;
    int life = 0;
    incarnation started;
    bool is_listed = false;
    std::unique_ptr<shared_quota> quota;
    absl::Time frozen_until = absl::InfinitePast();
    absl::Time passed_over_until = absl::InfinitePast();
    limit_bucket bucket; ///< of the ways that the product does not take
    /// Since when it has passed on answers that name a limit.
    absl::Time told_at = absl::InfiniteFuture();
    std::size_t last_state = 0;
    bool is_gossip_due = false;
    std::map<std::int64_t, std::shared_ptr<waiting_claim>> waiting;
};

/// One play of a plan.
class limit_fleet
{
public:
    limit_fleet(const limit_plan& plan, std::uint32_t seed);

    [[nodiscard]] limit_outcome play();

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
    void on_host(std::size_t index, absl::Duration after,
                 std::function<void(limit_host&)> run);
    void run_on_host(std::size_t index, int life,
                     const std::function<void(limit_host&)>& run);
    void send(std::size_t from, std::size_t to,
              std::function<void(limit_host&)> receive);
    void start_host(std::size_t index, bool is_first);
    void list(limit_host& host, bool is_first);
    void tick(std::size_t index);
    void send_states(std::size_t index);
    void repeat(std::size_t index);
    void gossip(std::size_t index);
    void gossip_to(std::size_t from, std::size_t to,
                   const std::vector<limit_record>& records);
    void check_updates(std::size_t index);
    void send_quota(std::size_t from, const addressed_quota_message& message);
    void receive_quota(std::size_t to, const quota_message& message);
    void next_request();
    void request_at(std::size_t index);
    void ask_owner(std::size_t index, double limit);
    void advance(std::size_t index,
                 const std::shared_ptr<waiting_claim>& waiting);
    void send_request(std::size_t index);
    void arrive(std::size_t index, int life, absl::Time sent_at);
    void take_answer(limit_host& host, std::size_t index,
                     std::optional<double> limit, absl::Time sent_at);
    void begin(const limit_trouble& trouble);
    [[nodiscard]] bool is_across(int one_hall, int other_hall) const;
    [[nodiscard]] bool is_passable(int one_hall, int other_hall) const;
    [[nodiscard]] double random(double from, double to);
    [[nodiscard]] std::size_t any_host();
    void judge();

    limit_plan m_plan;
    std::mt19937 m_random;
    absl::Time m_start = absl::UnixEpoch() + absl::Hours(1);
    absl::Time m_now = m_start - lead;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<limit_host> m_hosts;
    std::map<host_id, std::size_t> m_index;
    absl::Time m_cut_until = absl::InfinitePast();
    absl::Time m_split_until = absl::InfinitePast();
    absl::Time m_lossy_until = absl::InfinitePast();
    std::vector<limit_arrival> m_arrivals;
    absl::Time m_first_named = absl::InfiniteFuture();
    std::vector<bool> m_has_learned;
    double m_gossip_bytes = 0;
    double m_asks = 0;
    limit_outcome m_outcome;
};

} // namespace daleshelf
