#include <gtest/gtest.h>

#include <routing/load_table.hpp>
#include <routing/router.hpp>

namespace daleshelf
{
namespace
{

using upstream_list = std::vector<std::shared_ptr<const upstream_entry>>;

upstream_list make_upstreams(int count)
{
    upstream_list upstreams;
    for (int i = 0; i < count; ++i)
    {
        auto entry = std::make_shared<upstream_entry>();
        entry->id = upstream_id("engine-" + std::to_string(i));
        entry->max_concurrency = 2;
        upstreams.push_back(std::move(entry));
    }
    return upstreams;
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
    const auto upstreams = make_upstreams(10);
    load_table here;
    load_table elsewhere;
    const auto request = with_prefix("guidelines");
    const auto one = choose_upstream(upstreams, request, here);
    const auto other = choose_upstream(upstreams, request, elsewhere);
    EXPECT_EQ(one.upstream->id, other.upstream->id);
}

TEST(router, gives_no_new_work_to_an_upstream_that_leaves)
{
    const auto upstreams = make_upstreams(2);
    load_table loads;
    loads.set_leaving(upstreams[0]->id);
    const auto request = with_prefix("guidelines");
    for (int i = 0; i < 2; ++i)
    {
        const auto choice = choose_upstream(upstreams, request, loads);
        EXPECT_EQ(upstreams[1]->id, choice.upstream->id);
    }
    const auto full = choose_upstream(upstreams, request, loads);
    EXPECT_EQ(routing_choice::outcome::overloaded, full.what);
}

TEST(router, leaves_out_what_was_tried)
{
    const auto upstreams = make_upstreams(1);
    load_table loads;
    auto request = with_prefix("guidelines");
    request.excluded.insert(upstreams[0]->id);
    const auto choice = choose_upstream(upstreams, request, loads);
    EXPECT_EQ(routing_choice::outcome::none, choice.what);
}

} // namespace
} // namespace daleshelf
