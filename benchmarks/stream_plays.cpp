/// @file
/// Compares numbers of keepers of streams' origins, in drawn fleets with drawn
/// faults: how many datagrams a stream costs, and how many of the streams that
/// are resumed after the death of the host that began them are known there.
#include <absl/random/random.h>
#include <boost/program_options.hpp>

#include <cstdio>
#include <random>
#include <set>
#include <streams/origin_batch.hpp>
#include <streams/origin_keepers.hpp>
#include <string>
#include <vector>

namespace daleshelf
{
namespace
{

struct fleet_size
{
    int hosts = 0;
    int halls = 0;
};

/// What happens between the first event of a stream and its resumption.
struct fault
{
    const char* name;
    double killed = 0;      ///< share of the hosts
    bool is_cut = false;    ///< the hall of the stream from all others
    double lost = 0;        ///< share of the datagrams
    double moves = 0;       ///< share of the streams resumed in another hall
    bool is_logged = false; ///< origins are written to the log too
};

// Time for which a stream has run when its host dies, at most.
constexpr absl::Duration stream_time = absl::Seconds(4);
constexpr absl::Duration append_time = absl::Milliseconds(10);

struct play_result
{
    long streams = 0;
    long known = 0;
    long datagrams = 0;
};

class fleet
{
public:
    fleet(const fleet_size& size, std::uint64_t seed) : m_random(seed)
    {
        for (int number = 0; number < size.hosts; ++number)
        {
            m_hosts.push_back(
                {host_id("host-" + std::to_string(number)),
                 hall_id("hall-" + std::to_string(number % size.halls)),
                 absl::ZeroDuration()});
        }
    }

    /// Plays one stream: it begins, the fault happens, a client resumes it.
    void play(const fault& what, const keeper_counts& counts,
              play_result& result)
    {
        const request_id attempt(
            std::to_string(absl::Uniform<std::uint64_t>(m_random)));
        const auto first = draw_host();
        std::set<host_id> knowing;
        for (const auto& host :
             origin_keepers(attempt, first.hall, m_hosts, counts))
        {
            if (host == first.host)
            {
                continue;
            }
            ++result.datagrams;
            if (!absl::Bernoulli(m_random, what.lost))
            {
                knowing.insert(host);
            }
        }
        std::set<host_id> dead{first.host};
        for (const auto& candidate : m_hosts)
        {
            if (absl::Bernoulli(m_random, what.killed))
            {
                dead.insert(candidate.host);
            }
        }
        const bool stays = !absl::Bernoulli(m_random, what.moves);
        // Once all have died, they start again.
        const auto next = dead.size() == m_hosts.size()
                              ? draw_host()
                              : draw_alive(dead, stays ? &first.hall : nullptr);
        if (next.host.value().empty())
        {
            return;
        }
        ++result.streams;
        const bool is_in_log = what.is_logged && draw_is_written();
        result.known +=
            is_in_log || is_known(attempt, next, knowing, dead, what, counts);
    }

private:
    // @return whether the origin was in the log before its host died
    bool draw_is_written()
    {
        const auto interval = origin_write_interval(m_hosts.size());
        return absl::Uniform(m_random, 0.0, 1.0) * interval + append_time <
               absl::Uniform(m_random, 0.0, 1.0) * stream_time;
    }

    keeper_candidate draw_host()
    {
        return m_hosts[absl::Uniform<std::size_t>(m_random, 0, m_hosts.size())];
    }

    /// @param hall the hall to draw from; null: any
    keeper_candidate draw_alive(const std::set<host_id>& dead,
                                const hall_id* hall)
    {
        std::vector<keeper_candidate> alive;
        for (const auto& candidate : m_hosts)
        {
            if (!dead.contains(candidate.host) &&
                (hall == nullptr || candidate.hall == *hall))
            {
                alive.push_back(candidate);
            }
        }
        return alive.empty() ? keeper_candidate()
                             : alive[absl::Uniform<std::size_t>(m_random, 0,
                                                                alive.size())];
    }

    bool is_known(const request_id& attempt, const keeper_candidate& next,
                  const std::set<host_id>& knowing,
                  const std::set<host_id>& dead, const fault& what,
                  const keeper_counts& counts)
    {
        if (knowing.contains(next.host) && !dead.contains(next.host))
        {
            return true;
        }
        for (const auto& host :
             origin_keepers(attempt, next.hall, m_hosts, counts))
        {
            const bool is_reachable =
                !dead.contains(host) &&
                (!what.is_cut || hall_of(host) == next.hall) &&
                !absl::Bernoulli(m_random, what.lost) &&
                !absl::Bernoulli(m_random, what.lost);
            if (is_reachable && knowing.contains(host))
            {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] hall_id hall_of(const host_id& host) const
    {
        for (const auto& candidate : m_hosts)
        {
            if (candidate.host == host)
            {
                return candidate.hall;
            }
        }
        return {};
    }

    std::vector<keeper_candidate> m_hosts;
    std::mt19937_64 m_random;
};

void compare(const fleet_size& size, const fault& what, int streams,
             std::uint64_t seed)
{
    for (const auto& counts :
         {keeper_counts{1, 0}, {3, 0}, {0, 3}, {3, 1}, {3, 2}, {3, 3}})
    {
        fleet played(size, seed);
        play_result result;
        for (int number = 0; number < streams; ++number)
        {
            played.play(what, counts, result);
        }
        std::printf("%4d hosts  %-28s %zu halls, %zu own  %5.2f datagrams  "
                    "known %.4f\n",
                    size.hosts, what.name, counts.halls, counts.per_own_hall,
                    static_cast<double>(result.datagrams) / streams,
                    static_cast<double>(result.known) /
                        static_cast<double>(std::max(1L, result.streams)));
    }
}

int run(int argc, char** argv)
{
    namespace options = boost::program_options;
    int streams = 0;
    std::uint64_t seed = 0;
    options::options_description known("stream_plays");
    known.add_options()("help", "show this text")(
        "streams", options::value(&streams)->default_value(2000),
        "streams of each case")("seed", options::value(&seed)->default_value(1),
                                "of the draws");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, known), values);
    options::notify(values);
    if (values.contains("help"))
    {
        std::printf("stream_plays [--streams N] [--seed N]\n");
        return 0;
    }
    for (const auto& size : {fleet_size{8, 3}, {86, 4}, {985, 5}})
    {
        for (const auto& what :
             {fault{"the first host dies"},
              {"a third dies", 0.35},
              {"six in ten die", 0.6},
              {"six in ten die, logged", 0.6, false, 0, 0, true},
              {"all die", 1},
              {"all die, logged", 1, false, 0, 0, true},
              {"a third dies, hall cut", 0.35, true},
              {"a third dies, 3% lost", 0.35, false, 0.03},
              {"a third dies, other hall", 0.35, false, 0, 1}})
        {
            compare(size, what, size.hosts > 500 ? streams / 10 : streams,
                    seed);
        }
    }
    return 0;
}

} // namespace
} // namespace daleshelf

int main(int argc, char** argv)
{
    return daleshelf::run(argc, argv);
}
