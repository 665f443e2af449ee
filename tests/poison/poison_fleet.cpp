#include "poison_fleet.hpp"

#include <algorithm>
#include <poison/poison_watch.hpp>
#include <poison/suspects_in_flight.hpp>
#include <random>
#include <set>

namespace daleshelf
{

namespace
{

constexpr double tick_s = 0.05;
constexpr double boot_s = 4;
constexpr double run_s = 0.7;
// Within which all hosts hear what is proved.
constexpr double tell_time_s = 0.5;
// For which a host holds a request whose last end others may have seen more of.
constexpr double hold_s = 0.3;
constexpr std::size_t told_at_once = 8;
constexpr std::size_t most_told = 16;

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(1000 + seconds);
}

class fleet_play
{
public:
    fleet_play(const fleet_plan& plan, std::uint32_t seed)
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

    fleet_result play()
    {
        const auto ticks = static_cast<int>(m_plan.seconds / tick_s);
        for (int tick = 0; tick < ticks; ++tick)
        {
            m_now = tick * tick_s;
            strike();
            end_runs();
            begin_held();
            begin_requests();
            tell();
        }
        return m_result;
    }

private:
    struct host
    {
        poison_watch watch{poison_options()};
        suspects_in_flight suspects;
    };

    struct server
    {
        std::string id;
        double up_at = 0;
    };

    struct run
    {
        std::string content;
        std::size_t host = 0;
        std::size_t server = 0;
        std::string life;
        double began = 0;
        int tries = 1;
        bool is_suspect = false;
    };

    /// A request that waits for what is known elsewhere of its last end.
    struct held_request
    {
        std::string content;
        std::size_t host = 0;
        int tries = 1;
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

    void strike()
    {
        for (const auto storm : m_plan.storms)
        {
            for (std::size_t index = 0; std::abs(storm - m_now) < tick_s / 2 &&
                                        index < m_servers.size() / 3;
                 ++index)
            {
                end_server(pick(m_servers.size()));
            }
        }
        for (const auto restart : m_plan.restarts)
        {
            if (std::abs(restart - m_now) >= tick_s / 2)
            {
                continue;
            }
            for (std::size_t index = 0; index < m_hosts.size() / 3; ++index)
            {
                restart_host(pick(m_hosts.size()));
            }
        }
    }

    // What is proved stands on the log; another host tells the rest.
    void restart_host(std::size_t index)
    {
        std::erase_if(m_runs,
                      [&](const run& one) { return one.host == index; });
        m_hosts[index] = host();
        for (const auto& [print, record] : m_log)
        {
            m_hosts[index].watch.merge(record, at(m_now));
        }
        const auto& teller = m_hosts[pick(m_hosts.size())];
        for (const auto& record : teller.watch.newest(most_told))
        {
            m_hosts[index].watch.merge(record, at(m_now));
        }
    }

    // All that runs there is broken off and, once, tried again.
    void end_server(std::size_t index)
    {
        const auto life = m_servers[index].id;
        std::vector<run> broken;
        std::erase_if(m_runs,
                      [&](const run& one)
                      {
                          const bool is_there = one.life == life;
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
                count_end(one, counted.insert(one.content).second);
            }
        }
        for (auto& one : broken)
        {
            auto& host = m_hosts[one.host];
            if (one.is_suspect)
            {
                host.suspects.end(request_print(one.content),
                                  upstream_id(life));
            }
            host.watch.note_end({request_print(one.content), shape(one.content),
                                 service_name("service")},
                                {upstream_id(life), {}},
                                absl::Seconds(m_now - one.began), at(m_now));
            if (one.tries < 2)
            {
                send(one.content, one.host, one.tries + 1);
            }
        }
    }

    // @param is_first of the runs of its content at this server
    void count_end(const run& one, bool is_first)
    {
        auto& ends = m_result.ends[one.content];
        const bool is_late =
            ends.size() >= 3 && one.began > ends[2] + tell_time_s;
        m_result.late_tries += is_late ? 1 : 0;
        if (is_first)
        {
            ends.push_back(m_now);
        }
    }

    void end_runs()
    {
        std::vector<std::size_t> ended;
        std::vector<run> answered;
        std::erase_if(m_runs,
                      [&](const run& one)
                      {
                          if (m_now - one.began < run_s)
                          {
                              return false;
                          }
                          if (is_deadly(one.content))
                          {
                              ended.push_back(one.server);
                              return false;
                          }
                          answered.push_back(one);
                          return true;
                      });
        for (const auto& one : answered)
        {
            auto& host = m_hosts[one.host];
            const request_print print(one.content);
            if (one.is_suspect)
            {
                host.suspects.end(print, upstream_id(one.life));
            }
            const whole_answer life{{upstream_id(one.life), {}},
                                    host_id(std::to_string(one.host))};
            host.watch.note_answered(shape(one.content), life, at(m_now));
            host.watch.note_whole(print, life, at(m_now));
        }
        for (const auto server : ended)
        {
            const bool is_up = m_servers[server].up_at <= m_now;
            if (is_up)
            {
                end_server(server);
            }
        }
    }

    void begin_requests()
    {
        const auto innocent = m_plan.requests_per_s * tick_s;
        for (int index = 0; index < static_cast<int>(innocent) + 1; ++index)
        {
            if (happens(innocent / (static_cast<int>(innocent) + 1)))
            {
                // A few are asked for often.
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

    void begin_held()
    {
        const auto held = std::exchange(m_held, {});
        for (const auto& one : held)
        {
            if (one.until > m_now + tick_s / 2)
            {
                m_held.push_back(one);
                continue;
            }
            send(one.content, one.host, one.tries, true);
        }
    }

    void send(const std::string& content, std::size_t host_index, int tries,
              bool was_held = false)
    {
        auto& host = m_hosts[host_index];
        const request_print print(content);
        const auto judged =
            host.watch.judge(print, m_servers.size(), at(m_now));
        m_result.innocent += is_deadly(content) || was_held ? 0 : 1;
        const bool must_wait =
            host.watch.must_wait(print, m_servers.size(), at(m_now)) ||
            (host.suspects.has(print) &&
             host.watch.goes_alone(print, m_servers.size(), at(m_now)));
        const bool may_hold =
            m_plan.waiting == waiting_policy::hold && !was_held;
        if (judged != suspicion::proved && must_wait && may_hold)
        {
            m_held.push_back({content, host_index, tries, m_now + hold_s});
            return;
        }
        if (judged == suspicion::proved || must_wait)
        {
            keep_on_log(host, print);
            m_result.refused_innocent += is_deadly(content) ? 0 : 1;
            return;
        }
        const bool is_suspect = tries > 1 || judged == suspicion::suspect;
        const auto place = choose(host, is_suspect);
        if (!place)
        {
            return;
        }
        const auto life = m_servers[*place].id;
        if (is_suspect)
        {
            host.suspects.begin(print, upstream_id(life));
        }
        if (is_deadly(content) && m_log.contains(print) &&
            m_log.at(print).last_end() + absl::Seconds(0.5) < at(m_now))
        {
            ++m_result.sent_after_proof;
        }
        m_runs.push_back(
            {content, host_index, *place, life, m_now, tries, is_suspect});
    }

    std::optional<std::size_t> choose(const host& host, bool is_suspect)
    {
        std::vector<int> load(m_servers.size(), 0);
        for (const auto& one : m_runs)
        {
            ++load[one.server];
        }
        const auto crowded = host.suspects.servers();
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
                crowded.contains(upstream_id(m_servers[index].id));
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

    void keep_on_log(const host& host, const request_print& print)
    {
        const auto* record = host.watch.find(print);
        if (record != nullptr && record->is_proved)
        {
            m_log.try_emplace(print, *record);
        }
    }

    void tell()
    {
        std::vector<std::pair<std::size_t, poison_record>> words;
        for (auto& host : m_hosts)
        {
            for (const auto& record : host.watch.take_news(most_told))
            {
                host.watch.judge(record.print, m_servers.size(), at(m_now));
                const auto* newest = host.watch.find(record.print);
                if (newest == nullptr)
                {
                    continue;
                }
                keep_on_log(host, record.print);
                for (std::size_t index = 0; index < told_at_once; ++index)
                {
                    if (!happens(m_plan.lost))
                    {
                        words.emplace_back(pick(m_hosts.size()), *newest);
                    }
                }
            }
        }
        for (const auto& [to, record] : words)
        {
            m_hosts[to].watch.merge(record, at(m_now));
        }
    }

    fleet_plan m_plan;
    std::mt19937 m_random;
    std::vector<host> m_hosts;
    std::vector<server> m_servers;
    std::vector<run> m_runs;
    std::vector<held_request> m_held;
    std::map<request_print, poison_record> m_log;
    fleet_result m_result;
    double m_now = 0;
    int m_next_id = 0;
};

} // namespace

fleet_result fleet::play() const
{
    return fleet_play(m_plan, m_seed).play();
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
    plan.lost = 0.01 * in(0, 10);
    plan.seconds = 15;
    const auto storms = in(0, 3);
    for (int storm = 0; storm < storms; ++storm)
    {
        plan.storms.push_back(in(1, 14));
        if (seed % 2 == 1)
        {
            plan.restarts.push_back(in(1, 14));
        }
    }
    return plan;
}

} // namespace daleshelf
