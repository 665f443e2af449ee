/// @file
/// Compares ways to decide whether a service has had a single version, in drawn
/// fleets: a second version is listed while the host that resumes a stream is
/// suspended or cut off, and other hosts begin streams at that version. Counts
/// streams that would be continued at the wrong version, those that would be
/// continued though no host knows their origin, and how long the second version
/// waits for its first stream.
#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace daleshelf
{
namespace
{

/// A fleet, by how old a host's list is while nothing is wrong, in seconds.
struct fleet_size
{
    int hosts = 0;
    double max_list_age = 0;
};

/// How a host decides.
struct decision_rule
{
    const char* name;
    double max_list_age = 0;   ///< of a list that versions are derived from
    double admission = 0;      ///< time from a version's listing to its streams
    bool is_confirmed = false; ///< the list is read to its end before
};

/// What happens to the host that resumes the stream.
enum class trouble
{
    none,
    suspension,
    cut, ///< from the store and all hosts
};

constexpr double max_trouble_time = 5;
constexpr double min_trouble_time = 0.2;
// A host that is cut off counts as reaching the store for this long.
constexpr double reachable_time = 3;
// From the end of a suspension until the list has been read on.
constexpr double max_catch_up_time = 0.5;
constexpr double max_stream_time = 3;
constexpr double max_resume_delay = 0.5;
// Span of the play within which the second version is listed.
constexpr double listing_time = 5;

struct play_result
{
    long resumed_first = 0;  ///< streams of the first version
    long resumed_second = 0; ///< streams of the second version
    long derived_first = 0;  ///< of `resumed_first`, continued
    long wrong = 0;          ///< of `resumed_second`, continued at the first
};

/// One release, one host in trouble and one stream that it resumes, whose
/// origin no keeper knows or can report.
class play
{
public:
    play(const fleet_size& size, trouble what, std::mt19937_64& random)
        : m_what(what), m_random(random)
    {
        m_age = draw(0, size.max_list_age);
        m_began_at = draw(0, listing_time);
        m_ended_at = m_began_at + draw(min_trouble_time, max_trouble_time);
        m_caught_up_at = m_ended_at + draw(0, max_catch_up_time);
        m_listed_at = draw(0, listing_time);
        // The first host that begins streams may see the version at once.
        m_seen_at = m_listed_at + draw(0, m_age);
        m_stream_at = draw(0, listing_time + max_trouble_time);
        m_is_second_chosen = draw(0, 1) < one_half;
        m_sent_at =
            m_stream_at + draw(0, max_stream_time) + draw(0, max_resume_delay);
    }

    void decide(const decision_rule& rule, play_result& result) const
    {
        const bool is_second =
            m_is_second_chosen && m_stream_at >= m_seen_at + rule.admission;
        const auto now = decision_time();
        const auto known_at = list_time(now);
        const bool is_cut =
            m_what == trouble::cut && now >= m_began_at && now < m_ended_at;
        const bool has_seen_second = known_at >= m_listed_at;
        const bool is_list_accepted =
            rule.is_confirmed ? !is_cut : now - known_at <= rule.max_list_age;
        const bool knows_second =
            rule.is_confirmed ? now >= m_listed_at : has_seen_second;
        const bool is_derived = is_list_accepted && !knows_second;
        ++(is_second ? result.resumed_second : result.resumed_first);
        if (is_derived)
        {
            ++(is_second ? result.wrong : result.derived_first);
        }
    }

private:
    static constexpr double one_half = 0.5;

    double draw(double from, double to) const
    {
        return std::uniform_real_distribution<>(from, to)(m_random);
    }

    [[nodiscard]] bool is_in_trouble(double at) const
    {
        return at >= m_began_at && at < m_ended_at;
    }

    // A suspended host decides when it runs again.
    [[nodiscard]] double decision_time() const
    {
        return m_what == trouble::suspension && is_in_trouble(m_sent_at)
                   ? m_ended_at
                   : m_sent_at;
    }

    // @return time as of which the host's list is complete
    [[nodiscard]] double list_time(double now) const
    {
        const bool is_behind = m_what != trouble::none && now >= m_began_at &&
                               now < m_caught_up_at;
        return (is_behind ? std::min(now, m_began_at) : now) - m_age;
    }

    trouble m_what;
    std::mt19937_64& m_random;
    double m_age = 0; ///< of the list while nothing is wrong
    double m_began_at = 0;
    double m_ended_at = 0;
    double m_caught_up_at = 0;
    double m_listed_at = 0;
    double m_seen_at = 0; ///< by the host that begins the stream
    double m_stream_at = 0;
    bool m_is_second_chosen = false;
    double m_sent_at = 0; ///< the resumption
};

double share(long part, long all)
{
    return static_cast<double>(part) / static_cast<double>(std::max(1L, all));
}

void compare(const fleet_size& size, trouble what, const char* name,
             const std::vector<decision_rule>& rules, int plays,
             std::uint64_t seed)
{
    std::vector<play_result> results(rules.size());
    std::mt19937_64 random(seed);
    for (int number = 0; number < plays; ++number)
    {
        const play drawn(size, what, random);
        for (std::size_t index = 0; index < rules.size(); ++index)
        {
            drawn.decide(rules[index], results[index]);
        }
    }
    for (std::size_t index = 0; index < rules.size(); ++index)
    {
        const auto& result = results[index];
        std::printf("%4d hosts  %-12s %-28s wrong %6ld of %6ld  continued "
                    "%.3f of %6ld  delay %.1f s\n",
                    size.hosts, name, rules[index].name, result.wrong,
                    result.resumed_second,
                    share(result.derived_first, result.resumed_first),
                    result.resumed_first, rules[index].admission);
    }
}

int run(int argc, char** argv)
{
    namespace options = boost::program_options;
    int plays = 0;
    std::uint64_t seed = 0;
    options::options_description known("version_plays");
    known.add_options()("help", "show this text")(
        "plays", options::value(&plays)->default_value(100000),
        "plays of each case")("seed", options::value(&seed)->default_value(1),
                              "of the draws");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, known), values);
    options::notify(values);
    if (values.contains("help"))
    {
        std::printf("version_plays [--plays N] [--seed N]\n");
        return 0;
    }
    const std::vector<decision_rule> rules{
        {"store reachable lately", reachable_time},
        {"lease of 1 s", 1, 1},
        {"lease of 3 s", 3, 3},
        {"list confirmed by a read", 0, 0, true},
        {"never derived", -1}};
    for (const auto& size : {fleet_size{8, 0.2}, {72, 1.1}, {985, 2.2}})
    {
        compare(size, trouble::none, "in step", rules, plays, seed);
        compare(size, trouble::suspension, "suspended", rules, plays, seed);
        compare(size, trouble::cut, "cut off", rules, plays, seed);
    }
    return 0;
}

} // namespace
} // namespace daleshelf

int main(int argc, char** argv)
{
    return daleshelf::run(argc, argv);
}
