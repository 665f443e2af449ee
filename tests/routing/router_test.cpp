#include <gtest/gtest.h>

#include <map>
#include <routing/load_table.hpp>
#include <routing/router.hpp>

namespace daleshelf
{
namespace
{

upstream_ring make_ring(int count, std::int64_t max_concurrency = 2)
{
    std::vector<std::shared_ptr<const upstream_entry>> upstreams;
    for (int i = 0; i < count; ++i)
    {
        auto entry = std::make_shared<upstream_entry>();
        entry->id = upstream_id("engine-" + std::to_string(i));
        entry->max_concurrency = max_concurrency;
        upstreams.push_back(std::move(entry));
    }
    return upstream_ring(std::move(upstreams));
}

routing_request with_prefix(const std::string& prompt)
{
    routing_request request;
    request.prefix = prefix_hash(prompt);
    request.now = absl::UnixEpoch();
    return request;
}

TEST(router, sends_equal_prefixes_to_the_same_upstream)
{
    const auto ring = make_ring(10);
    load_table here;
    load_table elsewhere;
    const auto request = with_prefix("guidelines");
    const auto one = router(here).choose(ring, request);
    const auto other = router(elsewhere).choose(ring, request);
    EXPECT_EQ(one.upstream->id, other.upstream->id);
}

TEST(router, gives_no_new_work_to_an_upstream_that_leaves)
{
    const auto ring = make_ring(2);
    const auto& upstreams = ring.upstreams();
    load_table loads;
    router routes(loads);
    loads.set_leaving(upstreams[0]->id);
    const auto request = with_prefix("guidelines");
    for (int i = 0; i < 2; ++i)
    {
        const auto choice = routes.choose(ring, request);
        EXPECT_EQ(upstreams[1]->id, choice.upstream->id);
    }
    const auto full = routes.choose(ring, request);
    EXPECT_EQ(routing_choice::outcome::overloaded, full.what);
}

TEST(router, places_what_was_accepted_whatever_the_limits)
{
    const auto ring = make_ring(1);
    load_table loads;
    router routes(loads);
    auto request = with_prefix("guidelines");
    (void)routes.choose(ring, request);
    (void)routes.choose(ring, request);
    EXPECT_EQ(routing_choice::outcome::overloaded,
              routes.choose(ring, request).what);
    request.is_limited = false;
    EXPECT_EQ(routing_choice::outcome::chosen,
              routes.choose(ring, request).what);
}

TEST(load_table, does_not_count_what_has_ended_at_an_upstream_without_reports)
{
    load_table loads;
    const upstream_id service("index");
    for (int i = 0; i < 100; ++i)
    {
        ASSERT_TRUE(loads.try_begin(service, 10)) << i;
        loads.end(service);
    }
    EXPECT_EQ(0, loads.load(service).estimate());
}

TEST(router, uses_an_upstream_that_has_just_failed_if_there_is_no_other)
{
    const auto ring = make_ring(2);
    load_table loads;
    router routes(loads);
    auto request = with_prefix("guidelines");
    const auto later = request.now + absl::Seconds(1);
    loads.set_failed(ring.upstreams()[0]->id, later);
    EXPECT_EQ(ring.upstreams()[1]->id,
              routes.choose(ring, request).upstream->id);
    loads.set_failed(ring.upstreams()[1]->id, later);
    EXPECT_EQ(routing_choice::outcome::chosen,
              routes.choose(ring, request).what);
}

TEST(router, leaves_out_what_was_tried)
{
    const auto ring = make_ring(1);
    load_table loads;
    auto request = with_prefix("guidelines");
    request.excluded.insert(ring.upstreams()[0]->id);
    const auto choice = router(loads).choose(ring, request);
    EXPECT_EQ(routing_choice::outcome::none, choice.what);
}

TEST(router, spreads_a_prefix_once_waiting_costs_more_than_a_cache_miss)
{
    const auto ring = make_ring(10, 100);
    load_table loads;
    router routes(loads);
    auto request = with_prefix("guidelines");
    request.prompt_tokens = 1000;
    const auto first = routes.choose(ring, request).upstream->id;
    load_report report;
    report.running = 5;
    loads.set_report(first, report);
    EXPECT_EQ(first, routes.choose(ring, request).upstream->id);
    report.running = 50;
    loads.set_report(first, report);
    const auto second = routes.choose(ring, request).upstream->id;
    EXPECT_NE(first, second);
    // It is cached there, too, now.
    EXPECT_EQ(second, routes.choose(ring, request).upstream->id);
}

TEST(router, goes_round_those_that_are_left_in_equal_turns)
{
    const auto ring = make_ring(4);
    load_table loads;
    router routes(loads);
    loads.set_leaving(ring.upstreams()[0]->id);
    loads.set_leaving(ring.upstreams()[1]->id);
    auto request = with_prefix("guidelines");
    request.strategy = routing_strategy::round_robin;
    std::map<upstream_id, int> turns;
    for (int i = 0; i < 4; ++i)
    {
        const auto choice = routes.choose(ring, request);
        ++turns[choice.upstream->id];
        loads.end(choice.upstream->id);
    }
    EXPECT_EQ(2, turns[ring.upstreams()[2]->id]);
    EXPECT_EQ(2, turns[ring.upstreams()[3]->id]);
}

TEST(upstream_ring, changes_few_places_when_an_upstream_goes)
{
    const auto all = make_ring(10);
    auto rest = all.upstreams();
    rest.pop_back();
    const upstream_ring smaller(rest);
    constexpr int prefixes = 1000;
    int changed = 0;
    const auto first = [](const upstream_ring& ring, std::uint64_t prefix)
    {
        upstream_id found;
        ring.visit(prefix,
                   [&found](const upstream_ring::upstream_ptr& upstream)
                   {
                       found = upstream->id;
                       return false;
                   });
        return found;
    };
    for (int i = 0; i < prefixes; ++i)
    {
        const auto prefix = prefix_hash(std::to_string(i));
        const auto before = first(all, prefix);
        const auto after = first(smaller, prefix);
        const bool was_there = before != all.upstreams().back()->id;
        EXPECT_TRUE(!was_there || before == after);
        changed += before == after ? 0 : 1;
    }
    EXPECT_LT(changed, prefixes / 4);
}

} // namespace
} // namespace daleshelf
