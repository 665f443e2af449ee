#include "poison_fleet.hpp"

#include <algorithm>
#include <poison/poison_detector.hpp>
#include <poison/suspects_in_flight.hpp>
#include <random>
#include <set>

namespace daleshelf
{

namespace
{

constexpr double tick_s = 0.05;
constexpr double boot_s = 4;
constexpr double attempt_s = 0.7;
// Time within which a confirmation reaches all hosts.
constexpr double gossip_time_s = 0.5;
// Time for which a host holds a request while reports of its last crash are
// outstanding.
constexpr double hold_s = 0.3;
constexpr std::size_t gossip_fanout = 8;
constexpr std::size_t batch_limit = 16;

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(1000 + seconds);
}

class fleet_simulation
{
public:
    fleet_simulation(const fleet_plan& plan, std::uint32_t seed)
        : m_plan(plan), m_random(seed)
    {
        for (int host = 0; host < plan.hosts; ++host)
        {
            m_hosts.emplace_back();
        }
        for (int server = 0; server < plan.servers; ++server)
        {
            m_servers.push_back({next_id(), 0});
        }
    }

    fleet_result simulate()
    {
        const auto ticks = static_cast<int>(m_plan.seconds / tick_s);
        for (int tick = 0; tick < ticks; ++tick)
        {
            m_now = tick * tick_s;
            inject_faults();
            finish_attempts();
            resume_held();
            start_requests();
            gossip();
        }
        return m_result;
    }

private:
    struct host
    {
        poison_detector detector{poison_options()};
        suspects_in_flight suspects;
    };

    struct server
    {
        std::string id;
        double up_at = 0;
    };

    struct attempt
    {
        std::string content;
        std::size_t host = 0;
        std::size_t server = 0;
        std::string incarnation;
        double began = 0;
        int attempt_count = 1;
        bool is_suspect = false;
    };

    /// A request that waits for other hosts' reports of its last crash.
    struct held_request
    {
        std::string content;
        std::size_t host = 0;
        int attempt_count = 1;
        double until = 0;
    };

    std::string next_id()
    {
        return "s" + std::to_string(m_next_id++);
    }

    std::size_t pick(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          size - 1)(m_random);
    }

    bool happens(double chance)
    {
        return std::bernoulli_distribution(std::clamp(chance, 0.0, 1.0))(
            m_random);
    }

    static request_shape shape(const std::string& content)
    {
        return std::hash<std::string>()(content);
    }

    [[nodiscard]] bool is_deadly(const std::string& content) const
    {
        return content.starts_with("deadly");
    }

    void inject_faults()
    {
        for (const auto crash_time : m_plan.mass_crashes)
        {
            for (std::size_t index = 0;
                 std::abs(crash_time - m_now) < tick_s / 2 &&
                 index < m_servers.size() / 3;
                 ++index)
            {
                crash_server(pick(m_servers.size()));
            }
        }
        for (const auto restart_time : m_plan.restarts)
        {
            if (std::abs(restart_time - m_now) >= tick_s / 2)
            {
                continue;
            }
            for (std::size_t index = 0; index < m_hosts.size() / 3; ++index)
            {
                restart_host(pick(m_hosts.size()));
            }
        }
    }

    // Reads the confirmed records from the log and the others from one peer.
    void restart_host(std::size_t index)
    {
        std::erase_if(m_attempts,
                      [&](const attempt& one) { return one.host == index; });
        m_hosts[index] = host();
        for (const auto& [fingerprint, record] : m_log)
        {
            m_hosts[index].detector.merge(record, at(m_now));
        }
        const auto& peer = m_hosts[pick(m_hosts.size())];
        for (const auto& record : peer.detector.newest(batch_limit))
        {
            m_hosts[index].detector.merge(record, at(m_now));
        }
    }

    // Breaks all attempts on the server; each request is retried once.
    void crash_server(std::size_t index)
    {
        const auto incarnation = m_servers[index].id;
        std::vector<attempt> broken;
        std::erase_if(m_attempts,
                      [&](const attempt& one)
                      {
                          const bool is_there = one.incarnation == incarnation;
                          if (is_there)
                          {
                              broken.push_back(one);
                          }
                          return is_there;
                      });
        m_servers[index] = {next_id(), m_now + boot_s};
        std::set<std::string> counted;
        for (const auto& one : broken)
        {
            if (is_deadly(one.content))
            {
                count_crash(one, counted.insert(one.content).second);
            }
        }
        for (auto& one : broken)
        {
            auto& host = m_hosts[one.host];
            if (one.is_suspect)
            {
                host.suspects.end(request_fingerprint(one.content),
                                  upstream_id(incarnation));
            }
            host.detector.record_crash(
                {request_fingerprint(one.content), shape(one.content),
                 service_name("service")},
                {upstream_id(incarnation), {}},
                absl::Seconds(m_now - one.began), at(m_now));
            if (one.attempt_count < 2)
            {
                send(one.content, one.host, one.attempt_count + 1);
            }
        }
    }

    // @param is_first whether this is the first attempt of its content that is
    // counted for this crash
    void count_crash(const attempt& one, bool is_first)
    {
        auto& crashes = m_result.crashes[one.content];
        const bool is_late =
            crashes.size() >= 3 && one.began > crashes[2] + gossip_time_s;
        m_result.late_attempts += is_late ? 1 : 0;
        if (is_first)
        {
            crashes.push_back(m_now);
        }
    }

    void finish_attempts()
    {
        std::vector<std::size_t> crashed;
        std::vector<attempt> answered;
        std::erase_if(m_attempts,
                      [&](const attempt& one)
                      {
                          if (m_now - one.began < attempt_s)
                          {
                              return false;
                          }
                          if (is_deadly(one.content))
                          {
                              crashed.push_back(one.server);
                              return false;
                          }
                          answered.push_back(one);
                          return true;
                      });
        for (const auto& one : answered)
        {
            auto& host = m_hosts[one.host];
            const request_fingerprint fingerprint(one.content);
            if (one.is_suspect)
            {
                host.suspects.end(fingerprint, upstream_id(one.incarnation));
            }
            const completed_response response{
                {upstream_id(one.incarnation), {}},
                host_id(std::to_string(one.host))};
            host.detector.record_shape_response(shape(one.content), response,
                                                at(m_now));
            host.detector.record_response(fingerprint, response, at(m_now));
        }
        for (const auto server : crashed)
        {
            const bool is_up = m_servers[server].up_at <= m_now;
            if (is_up)
            {
                crash_server(server);
            }
        }
    }

    void start_requests()
    {
        const auto innocent = m_plan.requests_per_s * tick_s;
        for (int index = 0; index < static_cast<int>(innocent) + 1; ++index)
        {
            if (happens(innocent / (static_cast<int>(innocent) + 1)))
            {
                // Five contents get a fifth of the requests.
                const auto content =
                    happens(0.2) ? pick(5) : 5 + pick(m_plan.contents);
                send("c" + std::to_string(content), pick(m_hosts.size()), 1);
            }
        }
        for (int index = 0; index < m_plan.deadly; ++index)
        {
            if (happens(m_plan.deadly_per_s * tick_s))
            {
                send("deadly" + std::to_string(index), pick(m_hosts.size()), 1);
            }
        }
    }

    void resume_held()
    {
        const auto held = std::exchange(m_held, {});
        for (const auto& one : held)
        {
            if (one.until > m_now + tick_s / 2)
            {
                m_held.push_back(one);
                continue;
            }
            send(one.content, one.host, one.attempt_count, true);
        }
    }

    void send(const std::string& content, std::size_t host_index,
              int attempt_count, bool was_held = false)
    {
        auto& host = m_hosts[host_index];
        const request_fingerprint fingerprint(content);
        const auto judged =
            host.detector.judge(fingerprint, m_servers.size(), at(m_now));
        m_result.innocent += is_deadly(content) || was_held ? 0 : 1;
        const bool must_wait =
            host.detector.must_wait(fingerprint, m_servers.size(), at(m_now)) ||
            (host.suspects.has(fingerprint) &&
             host.detector.is_serialized(fingerprint, m_servers.size(),
                                         at(m_now)));
        const bool can_hold =
            m_plan.waiting == waiting_policy::hold && !was_held;
        if (judged != suspicion::confirmed && must_wait && can_hold)
        {
            m_held.push_back(
                {content, host_index, attempt_count, m_now + hold_s});
            return;
        }
        if (judged == suspicion::confirmed || must_wait)
        {
            log_if_confirmed(host, fingerprint);
            m_result.rejected_innocent += is_deadly(content) ? 0 : 1;
            return;
        }
        const bool is_suspect =
            attempt_count > 1 || judged == suspicion::suspect;
        const auto place = choose(host, is_suspect);
        if (!place)
        {
            return;
        }
        const auto incarnation = m_servers[*place].id;
        if (is_suspect)
        {
            host.suspects.begin(fingerprint, upstream_id(incarnation));
        }
        if (is_deadly(content) && m_log.contains(fingerprint) &&
            m_log.at(fingerprint).last_crash() + absl::Seconds(0.5) < at(m_now))
        {
            ++m_result.sent_after_confirmation;
        }
        m_attempts.push_back({content, host_index, *place, incarnation, m_now,
                              attempt_count, is_suspect});
    }

    std::optional<std::size_t> choose(const host& host, bool is_suspect)
    {
        std::vector<int> load(m_servers.size(), 0);
        for (const auto& one : m_attempts)
        {
            ++load[one.server];
        }
        const auto suspect_servers = host.suspects.servers();
        std::optional<std::size_t> best;
        double best_cost = 0;
        for (std::size_t index = 0; index < m_servers.size(); ++index)
        {
            if (m_servers[index].up_at > m_now)
            {
                continue;
            }
            const bool has_suspect =
                is_suspect &&
                suspect_servers.contains(upstream_id(m_servers[index].id));
            const auto cost = load[index] + (has_suspect ? 50.0 : 0.0) +
                              std::uniform_real_distribution<>(0, 1)(m_random);
            if (!best || cost < best_cost)
            {
                best = index;
                best_cost = cost;
            }
        }
        return best;
    }

    void log_if_confirmed(const host& host,
                          const request_fingerprint& fingerprint)
    {
        const auto* record = host.detector.find(fingerprint);
        if (record != nullptr && record->is_confirmed)
        {
            m_log.try_emplace(fingerprint, *record);
        }
    }

    void gossip()
    {
        std::vector<std::pair<std::size_t, poison_record>> messages;
        for (auto& host : m_hosts)
        {
            for (const auto& record : host.detector.take_unsent(batch_limit))
            {
                host.detector.judge(record.fingerprint, m_servers.size(),
                                    at(m_now));
                const auto* newest = host.detector.find(record.fingerprint);
                if (newest == nullptr)
                {
                    continue;
                }
                log_if_confirmed(host, record.fingerprint);
                for (std::size_t index = 0; index < gossip_fanout; ++index)
                {
                    if (!happens(m_plan.loss_rate))
                    {
                        messages.emplace_back(pick(m_hosts.size()), *newest);
                    }
                }
            }
        }
        for (const auto& [to, record] : messages)
        {
            m_hosts[to].detector.merge(record, at(m_now));
        }
    }

    fleet_plan m_plan;
    std::mt19937 m_random;
    std::vector<host> m_hosts;
    std::vector<server> m_servers;
    std::vector<attempt> m_attempts;
    std::vector<held_request> m_held;
    std::map<request_fingerprint, poison_record> m_log;
    fleet_result m_result;
    double m_now = 0;
    int m_next_id = 0;
};

} // namespace

fleet_result fleet::simulate() const
{
    return fleet_simulation(m_plan, m_seed).simulate();
}

fleet_plan drawn_plan(std::uint32_t seed)
{
    std::mt19937 random(seed);
    const auto in = [&](int from, int to)
    { return std::uniform_int_distribution<int>(from, to - 1)(random); };
    fleet_plan plan;
    plan.hosts = in(2, 40);
    plan.servers = in(4, 40);
    plan.requests_per_s = 7.0 * plan.servers;
    plan.contents = 40 * plan.servers;
    plan.deadly = in(1, 3);
    plan.loss_rate = 0.01 * in(0, 10);
    plan.seconds = 15;
    const auto mass_crashes = in(0, 3);
    for (int event = 0; event < mass_crashes; ++event)
    {
        plan.mass_crashes.push_back(in(1, 14));
        if (seed % 2 == 1)
        {
            plan.restarts.push_back(in(1, 14));
        }
    }
    return plan;
}

} // namespace daleshelf
