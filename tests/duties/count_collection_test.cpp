#include <absl/random/random.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <duties/count_collection.hpp>
#include <random>
#include <string>

namespace daleshelf
{
namespace
{

constexpr std::int64_t window = 7;

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

std::vector<host_id> make_machines(int count)
{
    std::vector<host_id> machines;
    machines.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
    {
        machines.emplace_back("host-" + std::to_string(number));
    }
    return machines;
}

TEST(count_collection, asks_each_machine_once_until_it_is_due_again)
{
    count_collection collection{collection_options()};
    collection.begin(window);
    const auto machines = make_machines(3);
    EXPECT_EQ(collection.to_ask(machines, at(1)).size(), 3U);
    EXPECT_TRUE(collection.to_ask(machines, at(1.2)).empty());
    collection.note_told(window, machines[0]);
    EXPECT_EQ(collection.to_ask(machines, at(1.5)).size(), 2U);
    EXPECT_FALSE(collection.is_complete(machines));
    collection.note_told(window, machines[1]);
    collection.note_told(window, machines[2]);
    EXPECT_TRUE(collection.is_complete(machines));
}

TEST(count_collection, an_answer_about_another_window_counts_for_nothing)
{
    count_collection collection{collection_options()};
    collection.begin(window);
    const auto machines = make_machines(1);
    collection.note_told(window - 1, machines[0]);
    EXPECT_FALSE(collection.is_complete(machines));
    collection.note_told(window, machines[0]);
    collection.begin(window + 1);
    EXPECT_FALSE(collection.is_complete(machines));
}

/// How long a fleet's counts take, asked for four times a second.
struct collected_fleet
{
    double seconds = 0; ///< until all that live have told
    std::size_t questions = 0;
};

// @param lost_part of all questions and answers
// @param dead_part of all machines; nobody knows that they are
collected_fleet collect(int count, double lost_part, double dead_part)
{
    std::mt19937 random(1);
    const auto machines = make_machines(count);
    std::vector<host_id> living;
    std::vector<host_id> dead;
    for (const auto& machine : machines)
    {
        const bool is_dead = absl::Bernoulli(random, dead_part);
        (is_dead ? dead : living).push_back(machine);
    }
    count_collection collection{collection_options()};
    collection.begin(window);
    collected_fleet result;
    constexpr double tick = 0.25;
    constexpr double give_up = 60;
    while (!collection.is_complete(living) && result.seconds < give_up)
    {
        result.seconds += tick;
        for (const auto& asked :
             collection.to_ask(machines, at(result.seconds)))
        {
            ++result.questions;
            const bool is_dead =
                std::find(dead.begin(), dead.end(), asked) != dead.end();
            if (!is_dead && !absl::Bernoulli(random, 2 * lost_part))
            {
                collection.note_told(window, asked);
            }
        }
    }
    return result;
}

// Half of the ten seconds in which a window is due, less the delay after its
// end, is what a holder has.
TEST(count_collection, any_fleet_has_told_within_half_of_the_time_due)
{
    constexpr double time_due = 4;
    for (const int count : {30, 100, 300, 580, 1000})
    {
        const auto calm = collect(count, 0.0, 0.0);
        EXPECT_LE(calm.seconds, time_due) << count;
        EXPECT_EQ(calm.questions, static_cast<std::size_t>(count));
        const auto lossy = collect(count, 0.03, 0.0);
        EXPECT_LE(lossy.seconds, time_due + 1) << count;
    }
}

// The dead are asked in vain, but hold up nobody's turn.
TEST(count_collection, dead_machines_do_not_keep_others_from_being_asked)
{
    constexpr double time_due = 4;
    for (const int count : {30, 100, 300, 580})
    {
        const auto many_dead = collect(count, 0.01, 0.55);
        EXPECT_LE(many_dead.seconds, time_due) << count;
    }
}

} // namespace
} // namespace daleshelf
