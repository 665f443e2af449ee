#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <ingress/server_directory.hpp>
#include <set>

namespace daleshelf
{
namespace
{

server_entry make_entry(std::int64_t sequence, bool is_draining = false)
{
    server_entry entry;
    entry.id = upstream_id("a");
    entry.service = service_name("s");
    entry.sequence = sequence;
    entry.is_draining = is_draining;
    return entry;
}

TEST(server_directory, a_server_that_leaves_does_not_come_back)
{
    server_directory directory;
    directory.set(make_entry(1, true));
    directory.set(make_entry(2, false));
    EXPECT_FALSE(directory.is_usable(upstream_id("a")));
    EXPECT_TRUE(directory.remove(upstream_id("a")));
    EXPECT_FALSE(directory.remove(upstream_id("a")));
}

TEST(server_directory, a_whole_list_drops_what_it_lacks)
{
    server_directory directory;
    directory.set(make_entry(1));
    auto other = make_entry(1);
    other.id = upstream_id("b");
    directory.set(other);
    EXPECT_EQ(directory.keep_only({upstream_id("b")}),
              std::vector{upstream_id("a")});
    EXPECT_EQ(directory.find(upstream_id("a")), nullptr);
    EXPECT_TRUE(directory.is_usable(upstream_id("b")));
}

TEST(server_directory, a_late_record_of_one_that_drained_does_not_list_it_again)
{
    server_directory directory;
    directory.set(make_entry(4));
    directory.set(make_entry(21, true));
    directory.remove(upstream_id("a"));
    EXPECT_EQ(directory.set(make_entry(20)), entry_change::none);
    EXPECT_EQ(directory.set(make_entry(22)), entry_change::none);
    EXPECT_FALSE(directory.is_usable(upstream_id("a")));
}

TEST(server_directory, a_late_record_after_removal_is_found_by_sequence)
{
    server_directory directory;
    directory.set(make_entry(4));
    directory.remove(upstream_id("a"));
    EXPECT_EQ(directory.set(make_entry(4)), entry_change::none);
    EXPECT_FALSE(directory.is_usable(upstream_id("a")));
}

TEST(server_directory, one_that_was_out_of_reach_comes_back)
{
    server_directory directory;
    directory.set(make_entry(4));
    directory.keep_only({});
    EXPECT_EQ(directory.set(make_entry(9)), entry_change::changed);
    EXPECT_TRUE(directory.is_usable(upstream_id("a")));
}

TEST(server_directory, one_that_drained_and_left_stays_away)
{
    server_directory directory;
    directory.set(make_entry(4));
    directory.set(make_entry(5, true));
    directory.remove(upstream_id("a"));
    EXPECT_EQ(directory.set(make_entry(9)), entry_change::none);
    EXPECT_FALSE(directory.is_usable(upstream_id("a")));
}

server_entry make_incarnation(std::int64_t started_ms, std::int64_t sequence,
                              bool is_draining = false)
{
    auto entry = make_entry(sequence, is_draining);
    entry.started_at = upstream_birth(started_ms);
    return entry;
}

TEST(server_directory, one_that_starts_again_is_used_at_once)
{
    server_directory directory;
    directory.set(make_incarnation(100, 40));
    directory.set(make_incarnation(100, 41, true));
    EXPECT_EQ(directory.set(make_incarnation(200, 1)), entry_change::restarted);
    EXPECT_TRUE(directory.is_usable(upstream_id("a")));
    directory.remove(upstream_id("a"));
    EXPECT_EQ(directory.set(make_incarnation(300, 1)), entry_change::restarted);
    EXPECT_TRUE(directory.is_usable(upstream_id("a")));
}

TEST(server_directory, an_earlier_incarnation_never_replaces_a_later_one)
{
    server_directory directory;
    directory.set(make_incarnation(200, 1));
    EXPECT_EQ(directory.set(make_incarnation(100, 41, true)),
              entry_change::none);
    EXPECT_TRUE(directory.is_usable(upstream_id("a")));
    directory.remove(upstream_id("a"));
    EXPECT_EQ(directory.set(make_incarnation(100, 42)), entry_change::none);
    EXPECT_FALSE(directory.is_usable(upstream_id("a")));
}

TEST(server_directory, a_record_without_start_time_is_of_the_known_incarnation)
{
    server_directory directory;
    directory.set(make_incarnation(100, 4, true));
    EXPECT_EQ(directory.set(make_incarnation(0, 5)), entry_change::none);
    EXPECT_FALSE(directory.is_usable(upstream_id("a")));
    EXPECT_EQ(directory.set(make_incarnation(90, 6)), entry_change::none);
    EXPECT_EQ(directory.set(make_incarnation(200, 1)), entry_change::restarted);
}

TEST(server_directory, one_that_announces_that_it_drains_keeps_draining)
{
    server_directory directory;
    directory.set(make_incarnation(100, 4));
    const upstream_incarnation server{make_incarnation(100, 4).id,
                                      upstream_birth(100)};
    EXPECT_TRUE(directory.mark_draining(server));
    EXPECT_FALSE(directory.mark_draining(server)) << "already draining";
    directory.set(make_incarnation(100, 5));
    EXPECT_FALSE(directory.is_usable(server.id)) << "the list is behind";
    EXPECT_EQ(directory.set(make_incarnation(200, 1)), entry_change::restarted);
    EXPECT_TRUE(directory.is_usable(server.id));
    EXPECT_FALSE(directory.mark_draining(server))
        << "of the earlier incarnation";
    EXPECT_TRUE(directory.is_usable(server.id));
}

TEST(server_directory, one_that_announces_draining_while_unlisted_stays_away)
{
    server_directory directory;
    directory.set(make_incarnation(100, 4));
    const upstream_incarnation server{make_incarnation(100, 4).id,
                                      upstream_birth(100)};
    directory.remove(server.id);
    EXPECT_FALSE(directory.mark_draining(server));
    EXPECT_EQ(directory.set(make_incarnation(100, 9)), entry_change::none);
    EXPECT_FALSE(directory.is_usable(server.id));
    EXPECT_FALSE(directory.mark_draining({upstream_id("unknown"), {}}));
}

TEST(server_directory, another_writers_record_makes_the_server_unusable)
{
    server_directory directory;
    EXPECT_FALSE(directory.withhold(upstream_id("a")));
    directory.set(make_incarnation(100, 4));
    EXPECT_TRUE(directory.withhold(upstream_id("a")));
    EXPECT_FALSE(directory.withhold(upstream_id("a")));
    EXPECT_FALSE(directory.is_usable(upstream_id("a")));
    // The upstream writes its own record again.
    EXPECT_EQ(directory.set(make_incarnation(100, 4)), entry_change::changed);
    EXPECT_TRUE(directory.is_usable(upstream_id("a")));
}

// Rendezvous hashing, selection and scaling all use the list of usable
// upstreams, so an unjudged version must not be in it.
TEST(server_directory, a_server_that_restarts_at_another_version_is_noticed)
{
    server_directory directory;
    server_entry first;
    first.id = upstream_id("a");
    first.started_at = upstream_birth(100);
    first.version = version_name("v1");
    directory.set(first);
    EXPECT_FALSE(directory.has_restarted(first));
    auto second = first;
    second.started_at = upstream_birth(200);
    directory.set(second);
    EXPECT_TRUE(directory.has_restarted(first));
    EXPECT_FALSE(directory.has_restarted(second));
    auto unborn = second;
    unborn.version = version_name("v0");
    EXPECT_TRUE(directory.has_restarted(unborn));
    directory.remove(first.id);
    EXPECT_FALSE(directory.has_restarted(first));
}

TEST(server_directory, the_target_of_a_roll_out_is_not_usable)
{
    server_directory directory;
    auto target = make_entry(1);
    target.id = upstream_id("b");
    target.version = version_name("v2");
    for (const auto& entry : {make_entry(1), target})
    {
        directory.versions().record_server(entry.service, entry.version, true,
                                           absl::UnixEpoch());
        directory.set(entry);
    }
    EXPECT_EQ(directory.usable(service_name("s")).size(), 2);
    directory.versions().set_order({service_name("s"), version_name("v2"),
                                    absl::Seconds(14), log_offset(3)});
    const auto usable = directory.usable(service_name("s"));
    ASSERT_EQ(usable.size(), 1);
    EXPECT_EQ(usable.front().entry->id, upstream_id("a"));
}

// The index of usable upstreams is maintained with each record; it must list
// exactly the upstreams of the service that are usable, in order.
RC_GTEST_PROP(server_directory_index, lists_exactly_the_usable_upstreams, ())
{
    server_directory directory;
    const std::vector<std::string> ids{"a", "b", "c", "d", "e"};
    const std::vector<service_name> services{service_name("s"),
                                             service_name("t")};
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step)
    {
        auto entry = make_entry(step + 1, *rc::gen::inRange(0, 4) == 0);
        entry.id = upstream_id(*rc::gen::elementOf(ids));
        entry.service = *rc::gen::elementOf(services);
        entry.version = version_name(*rc::gen::element<std::string>("1", "2"));
        entry.started_at = upstream_birth(*rc::gen::inRange(0, 3));
        switch (*rc::gen::inRange(0, 6))
        {
        case 0:
            directory.remove(entry.id);
            break;
        case 1:
            directory.withhold(entry.id);
            break;
        case 2:
            directory.mark_draining(entry.incarnation());
            break;
        default:
            directory.set(entry);
        }
        for (const auto& service : services)
        {
            std::set<std::pair<version_name, upstream_id>> expected;
            for (const auto& id : ids)
            {
                const auto* listed = directory.find(upstream_id(id));
                if (listed != nullptr && listed->service == service &&
                    directory.is_usable(listed->id))
                {
                    expected.emplace(listed->version, listed->id);
                }
            }
            std::vector<std::pair<version_name, upstream_id>> indexed;
            for (const auto& [hash, server] : directory.usable(service))
            {
                indexed.emplace_back(server->version, server->id);
            }
            RC_ASSERT(indexed == std::vector(expected.begin(), expected.end()));
            RC_ASSERT(directory.usable_count(service) == expected.size());
        }
    }
}

} // namespace
} // namespace daleshelf
