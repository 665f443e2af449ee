#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <admission/fair_queue.hpp>
#include <map>

namespace daleshelf
{
namespace
{

queued_request make_request(const std::string& workspace, int number,
                            double work = 100, std::int64_t priority = 0)
{
    return {request_id(workspace + std::to_string(number)),
            workspace_id(workspace), 1, priority, work};
}

TEST(fair_queue, gives_two_workspaces_equal_work_whatever_each_request_costs)
{
    fair_queue queue(share_basis::work);
    for (int i = 0; i < 100; ++i)
    {
        queue.push(make_request("long", i, 1000));
        queue.push(make_request("short", i, 100));
    }
    std::map<std::string, double> work;
    for (int i = 0; i < 60; ++i)
    {
        const auto request = *queue.pop();
        work[request.workspace.value()] += request.estimated_work;
    }
    EXPECT_NEAR(work["long"], work["short"], 1100);
}

TEST(fair_queue, is_not_held_up_by_one_that_floods)
{
    fair_queue queue(share_basis::work);
    for (int i = 0; i < 1000; ++i)
    {
        queue.push(make_request("flood", i));
    }
    queue.push(make_request("other", 0));
    EXPECT_LE(queue.requests_before(workspace_id("third"), 0), 2);
    bool is_served = false;
    for (int i = 0; i < 3; ++i)
    {
        is_served = is_served || queue.pop()->workspace.value() == "other";
    }
    EXPECT_TRUE(is_served);
}

TEST(fair_queue, serves_higher_priorities_first)
{
    fair_queue queue(share_basis::work);
    queue.push(make_request("a", 0, 100, -1));
    queue.push(make_request("a", 1, 100, 1));
    EXPECT_EQ(1, queue.pop()->priority);
    EXPECT_EQ(-1, queue.pop()->priority);
    EXPECT_FALSE(queue.pop().has_value());
}

TEST(fair_queue, corrects_an_estimate_after_the_answer)
{
    fair_queue queue(share_basis::work);
    queue.push(make_request("a", 0));
    queue.push(make_request("a", 1));
    queue.push(make_request("b", 0));
    queue.push(make_request("b", 1));
    const auto first = *queue.pop();
    queue.charge(first.workspace, 1, 5000);
    const auto second = *queue.pop();
    const auto third = *queue.pop();
    EXPECT_NE(first.workspace, second.workspace);
    EXPECT_NE(first.workspace, third.workspace);
}

RC_GTEST_PROP(fair_queue, gives_out_each_request_once, ())
{
    fair_queue queue(share_basis::work);
    std::map<std::string, int> pop_counts;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    int pushed = 0;
    for (const int step : steps)
    {
        if (step % 3 != 0)
        {
            queue.push(make_request("w" + std::to_string(step % 4), pushed++,
                                    step, step % 2));
            continue;
        }
        const auto request = queue.pop();
        if (request && step % 5 == 0)
        {
            queue.push_front(*request);
        }
        else if (request)
        {
            ++pop_counts[request->id.value()];
        }
    }
    while (const auto request = queue.pop())
    {
        ++pop_counts[request->id.value()];
    }
    RC_ASSERT(queue.size() == 0U);
    RC_ASSERT(pop_counts.size() == static_cast<std::size_t>(pushed));
    for (const auto& [id, count] : pop_counts)
    {
        RC_ASSERT(count == 1);
    }
}

} // namespace
} // namespace daleshelf
