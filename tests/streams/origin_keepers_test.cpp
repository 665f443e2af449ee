#include <gtest/gtest.h>

#include <algorithm>
#include <base/text.hpp>
#include <streams/origin_keepers.hpp>

namespace daleshelf
{
namespace
{

constexpr int attempt_count = 200;

hall_id hall_number(int number)
{
    return hall_id(concat("hall-", number));
}

std::vector<keeper_candidate> make_hosts(int hosts, int halls)
{
    std::vector<keeper_candidate> candidates;
    candidates.reserve(static_cast<std::size_t>(hosts));
    for (int number = 0; number < hosts; ++number)
    {
        candidates.push_back({host_id(concat("host-", number)),
                              hall_number(number % halls),
                              absl::ZeroDuration()});
    }
    return candidates;
}

std::vector<host_id> common(const std::vector<host_id>& left,
                            const std::vector<host_id>& right)
{
    std::vector<host_id> both;
    std::copy_if(
        left.begin(), left.end(), std::back_inserter(both),
        [&](const auto& host)
        { return std::find(right.begin(), right.end(), host) != right.end(); });
    return both;
}

request_id attempt_number(int number)
{
    return request_id(concat("attempt-", number));
}

TEST(origin_keepers, are_in_several_halls_and_in_the_own_one)
{
    for (const auto& [size, halls] : {std::pair(8, 3), {86, 4}, {985, 5}})
    {
        const auto hosts = make_hosts(size, halls);
        for (int number = 0; number < attempt_count; ++number)
        {
            const auto keepers =
                origin_keepers(attempt_number(number), hall_number(0), hosts);
            EXPECT_GE(keepers.size(), 4);
            EXPECT_LE(keepers.size(), 6);
            const auto in_own_hall =
                std::count_if(hosts.begin(), hosts.end(),
                              [&](const auto& host)
                              {
                                  return host.hall == hall_number(0) &&
                                         !common({host.host}, keepers).empty();
                              });
            EXPECT_GE(in_own_hall, 2);
        }
    }
}

// A stream may be resumed from another hall than that which began it.
TEST(origin_keepers, those_of_two_halls_overlap)
{
    const auto hosts = make_hosts(86, 4);
    for (int number = 0; number < attempt_count; ++number)
    {
        const auto attempt = attempt_number(number);
        EXPECT_GE(common(origin_keepers(attempt, hall_number(0), hosts),
                         origin_keepers(attempt, hall_number(1), hosts))
                      .size(),
                  3);
    }
}

// Hosts that were killed, or have joined, are not known everywhere at once.
TEST(origin_keepers, different_views_of_the_fleet_mostly_agree)
{
    const auto hosts = make_hosts(86, 4);
    const std::vector<keeper_candidate> fewer(std::next(hosts.begin(), 8),
                                              hosts.end());
    for (int number = 0; number < attempt_count; ++number)
    {
        const auto attempt = attempt_number(number);
        EXPECT_GE(common(origin_keepers(attempt, hall_number(0), hosts),
                         origin_keepers(attempt, hall_number(0), fewer))
                      .size(),
                  1);
    }
}

TEST(origin_keepers, share_the_streams)
{
    const auto hosts = make_hosts(86, 4);
    std::map<host_id, int> kept;
    constexpr int streams = 8600;
    for (int number = 0; number < streams; ++number)
    {
        for (const auto& host : origin_keepers(attempt_number(number),
                                               hall_number(number % 4), hosts))
        {
            ++kept[host];
        }
    }
    EXPECT_EQ(kept.size(), hosts.size());
    for (const auto& [host, count] : kept)
    {
        EXPECT_LT(count, streams * 6 / 86 * 2) << host.value();
    }
}

TEST(origin_keepers, a_host_alone_keeps_its_own)
{
    const auto hosts = make_hosts(1, 1);
    EXPECT_EQ(origin_keepers(attempt_number(1), hall_number(0), hosts).size(),
              1);
    EXPECT_TRUE(origin_keepers(attempt_number(1), hall_number(0), {}).empty());
}

} // namespace
} // namespace daleshelf
