#include <gtest/gtest.h>

#include <placement/placement_plan.hpp>

namespace daleshelf
{
namespace
{

change_operation put(resource_kind kind, const std::string& name,
                     boost::json::object body)
{
    return {change_operation::action::put, {kind, name}, {}, std::move(body)};
}

change_operation engine(const std::string& name, double price,
                        boost::json::array models)
{
    return put(resource_kind::upstream, name,
               {{"type", "engine"},
                {"url", "http://127.0.0.1:1"},
                {"hall", "a"},
                {"price_per_hour", price},
                {"models", std::move(models)}});
}

change_operation deployment(const std::string& name, int replicas,
                            int priority = 0)
{
    return put(resource_kind::deployment, name,
               {{"model", "m-" + name},
                {"replicas_per_hall", replicas},
                {"priority", priority}});
}

placement_plan plan(const std::vector<change_operation>& operations,
                    const std::string& unusable = "")
{
    resource_store store;
    store.apply(log_offset(0), to_record({{change_id("c"), operations}}));
    const configuration config(store);
    std::vector<placement_upstream> upstreams;
    for (const auto& entry : config.upstreams())
    {
        upstreams.push_back({entry, entry->id.value() != unusable});
    }
    return plan_placement(config, hall_id("a"), upstreams, {});
}

using action = placement_order::action;

TEST(placement_plan, loads_on_the_cheapest_upstream_that_holds_least)
{
    const auto planned = plan({engine("dear", 2, {}), engine("cheap", 1, {}),
                               engine("full", 0.5, {"m-other"}),
                               deployment("x", 1), deployment("other", 1)});
    ASSERT_EQ(1U, planned.orders.size());
    EXPECT_EQ((placement_order{action::load, upstream_id("cheap"), "m-x"}),
              planned.orders[0]);
}

TEST(placement_plan, replaces_what_a_leaving_upstream_held)
{
    const auto planned = plan(
        {engine("one", 1, {"m-x"}), engine("two", 1, {}), deployment("x", 1)},
        "one");
    ASSERT_EQ(1U, planned.orders.size());
    EXPECT_EQ(upstream_id("two"), planned.orders[0].upstream);
}

TEST(placement_plan, unloads_only_when_nothing_is_to_be_loaded)
{
    const auto busy = plan({engine("one", 1, {"m-old"}), engine("two", 1, {}),
                            deployment("x", 2)});
    for (const auto& order : busy.orders)
    {
        EXPECT_EQ(action::load, order.what);
    }
    const auto settled =
        plan({engine("one", 1, {"m-old", "m-x"}), deployment("x", 1)});
    ASSERT_EQ(1U, settled.orders.size());
    EXPECT_EQ((placement_order{action::unload, upstream_id("one"), "m-old"}),
              settled.orders[0]);
}

TEST(placement_plan, leaves_alone_what_nobody_has_put_under_its_care)
{
    EXPECT_TRUE(
        plan({engine("one", 1, {"m"}), deployment("x", 0)}).orders.empty());
}

TEST(placement_plan, serves_higher_priorities_first_and_says_what_is_short)
{
    const auto planned = plan({engine("one", 1, {"m-low"}),
                               deployment("low", 2), deployment("high", 1, 5)});
    ASSERT_EQ(1U, planned.orders.size());
    EXPECT_EQ("m-high", planned.orders[0].model);
    EXPECT_EQ(std::vector<std::string>{"low"}, planned.short_of_upstreams);
}

} // namespace
} // namespace daleshelf
