// Spreading records through a hall. Guards against what a reader sends growing
// with the hosts of its hall: 9,300 leaving upstreams are 0.25 MB of records,
// and sent to each of 197 hosts they occupy a link of 20 Mbit/s for 20 s.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <peers/relay_tree.hpp>
#include <set>

namespace daleshelf
{
namespace
{

std::vector<host_id> make_hall(int size)
{
    std::vector<host_id> hall;
    hall.reserve(static_cast<std::size_t>(size));
    for (int index = 0; index < size; ++index)
    {
        hall.emplace_back("host-" + std::to_string(index));
    }
    return hall;
}

std::vector<host_id> without(std::vector<host_id> hosts, const host_id& host)
{
    std::erase(hosts, host);
    return hosts;
}

/// Result of sending one part from a root.
struct spread
{
    std::map<host_id, int> copies; ///< received, by host
    std::size_t most_sent = 0;     ///< by one host
    int hops = 0;                  ///< to the last host
};

// @param dead hosts that receive nothing, but are known
spread send_part(const host_id& root, const std::vector<host_id>& hall,
                 const std::set<host_id>& dead = {})
{
    spread result;
    std::deque<std::pair<host_id, int>> senders{{root, 0}};
    while (!senders.empty())
    {
        const auto [sender, hops] = senders.front();
        senders.pop_front();
        result.hops = std::max(result.hops, hops);
        const auto children =
            relay_children(root, sender, without(hall, sender));
        result.most_sent = std::max(result.most_sent, children.size());
        for (const auto& child : children)
        {
            ++result.copies[child];
            if (!dead.contains(child))
            {
                senders.emplace_back(child, hops + 1);
            }
        }
    }
    return result;
}

/// Halls of a fleet of 985 hosts, and of one of twice as many.
class relay_tree : public testing::TestWithParam<int>
{
};

TEST_P(relay_tree, reaches_each_host_once_and_bounds_what_each_sends)
{
    const auto hall = make_hall(GetParam());
    const auto sent = send_part(hall[5], hall);
    EXPECT_EQ(sent.copies.size(), hall.size() - 1);
    for (const auto& [host, copies] : sent.copies)
    {
        EXPECT_EQ(copies, 1) << host;
    }
    EXPECT_LE(sent.most_sent, relay_fanout);
    EXPECT_LE(sent.hops, 3);
}

TEST_P(relay_tree, two_roots_reach_most_hosts_when_a_fifth_is_dead)
{
    const auto hall = make_hall(GetParam());
    std::set<host_id> dead;
    for (std::size_t index = 2; index < hall.size(); index += 5)
    {
        dead.insert(hall[index]);
    }
    std::set<host_id> reached;
    for (const auto& root : {hall[0], hall[1]})
    {
        for (const auto& [host, copies] : send_part(root, hall, dead).copies)
        {
            reached.insert(host);
        }
    }
    std::size_t missed = 0;
    for (const auto& host : hall)
    {
        const bool is_alive = !dead.contains(host);
        missed += is_alive && !reached.contains(host) ? 1 : 0;
    }
    // Those detect the gap by the readers' next announcement.
    EXPECT_LE(missed, hall.size() / 6);
}

INSTANTIATE_TEST_SUITE_P(halls, relay_tree, testing::Values(9, 55, 197, 394));

// Hosts know different parts of the hall: a part still visits no host in a
// cycle, and the filter stops a second copy.
RC_GTEST_PROP(relay_tree_views, parts_end_when_hosts_disagree, ())
{
    const auto hall = make_hall(*rc::gen::inRange(2, 80));
    const auto& root = hall.front();
    std::map<host_id, relay_filter> filters;
    std::deque<host_id> senders{root};
    std::size_t forwards = 0;
    while (!senders.empty())
    {
        const auto sender = senders.front();
        senders.pop_front();
        ++forwards;
        RC_ASSERT(forwards <= hall.size());
        auto known = without(hall, sender);
        std::erase_if(known, [](const auto&)
                      { return *rc::gen::inRange(0, 10) == 0; });
        for (const auto& child : relay_children(root, sender, known))
        {
            RC_ASSERT(child != root);
            if (filters[child].accept({"topic", root}, log_offset(7)))
            {
                senders.push_back(child);
            }
        }
    }
}

TEST(relay_filter, forwards_each_part_of_a_topic_and_root_once)
{
    relay_filter filter;
    const relay_source first{"topic", host_id("a")};
    EXPECT_TRUE(filter.accept(first, log_offset(1)));
    EXPECT_FALSE(filter.accept(first, log_offset(1)));
    EXPECT_TRUE(filter.accept(first, log_offset(5)));
    EXPECT_FALSE(filter.accept(first, log_offset(3))) << "overtaken";
    EXPECT_TRUE(filter.accept({"topic", host_id("b")}, log_offset(1)));
    EXPECT_TRUE(filter.accept({"other", host_id("a")}, log_offset(1)));
}

} // namespace
} // namespace daleshelf
