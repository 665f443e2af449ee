#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <membership/membership.hpp>
#include <memory>
#include <set>

namespace daleshelf
{
namespace
{

/// Hosts that deliver messages without delay, except across a partition.
class small_fleet
{
public:
    explicit small_fleet(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            add(i, 1);
        }
    }

    void add(int number, std::int64_t started)
    {
        member self;
        self.id = host_id("host-" + std::to_string(number));
        self.hall = hall_id("hall-" + std::to_string(number % 3));
        self.address = address(number);
        self.started = incarnation(started);
        auto created = std::make_unique<membership>(
            self, membership_options(), static_cast<std::uint64_t>(number));
        created->set_seeds({address(0), address(1)});
        m_hosts[self.address] = std::move(created);
    }

    static std::string address(int number)
    {
        return "10.0.0." + std::to_string(number) + ":1";
    }

    membership& host(int number)
    {
        return *m_hosts.at(address(number));
    }

    void stop(int number)
    {
        m_hosts.erase(address(number));
    }

    /// Partitions the given hosts from all others.
    void partition(const std::set<int>& numbers)
    {
        m_partition.clear();
        for (const int number : numbers)
        {
            m_partition.insert(address(number));
        }
    }

    void run(absl::Duration time)
    {
        constexpr absl::Duration step = absl::Milliseconds(100);
        const auto end = m_now + time;
        while (m_now < end)
        {
            m_now += step;
            for (auto& [address, host] : m_hosts)
            {
                deliver(address, host->on_tick(m_now));
            }
        }
    }

    member_state state(int seen_by, int number)
    {
        const host_id id("host-" + std::to_string(number));
        return host(seen_by).members().at(id).state;
    }

    std::size_t largest_message() const
    {
        return m_largest_message;
    }

    std::int64_t messages() const
    {
        return m_messages;
    }

private:
    bool is_partitioned(const std::string& one, const std::string& other) const
    {
        return m_partition.contains(one) != m_partition.contains(other);
    }

    void deliver(const std::string& from,
                 const std::vector<outgoing_gossip>& messages)
    {
        for (const auto& item : messages)
        {
            ++m_messages;
            if (item.message.type != gossip_message::kind::sync_reply)
            {
                m_largest_message =
                    std::max(m_largest_message, item.message.updates.size());
            }
            const auto target = m_hosts.find(item.address);
            if (target == m_hosts.end() || is_partitioned(from, item.address))
            {
                continue;
            }
            deliver(item.address,
                    target->second->on_message(item.message, m_now));
        }
    }

    std::map<std::string, std::unique_ptr<membership>> m_hosts;
    std::set<std::string> m_partition;
    absl::Time m_now = absl::UnixEpoch();
    std::size_t m_largest_message = 0;
    std::int64_t m_messages = 0;
};

TEST(membership, lets_every_host_know_every_other)
{
    small_fleet fleet(12);
    fleet.run(absl::Seconds(30));
    for (int one = 0; one < 12; ++one)
    {
        EXPECT_EQ(11U, fleet.host(one).members().size());
    }
}

TEST(membership, holds_a_host_that_is_gone_for_dead_and_not_the_others)
{
    small_fleet fleet(9);
    fleet.run(absl::Seconds(30));
    fleet.stop(4);
    fleet.run(absl::Seconds(30));
    for (const int one : {0, 1, 8})
    {
        EXPECT_EQ(member_state::dead, fleet.state(one, 4));
        EXPECT_EQ(member_state::alive, fleet.state(one, 5));
    }
}

TEST(membership, joins_again_after_a_hall_was_cut_off)
{
    small_fleet fleet(9);
    fleet.run(absl::Seconds(30));
    fleet.partition({0, 3, 6});
    fleet.run(absl::Seconds(30));
    EXPECT_EQ(member_state::dead, fleet.state(1, 0));
    EXPECT_EQ(member_state::alive, fleet.state(3, 0));
    fleet.partition({});
    fleet.run(absl::Seconds(60));
    for (int one = 1; one < 9; ++one)
    {
        EXPECT_EQ(member_state::alive, fleet.state(one, 0)) << one;
        EXPECT_EQ(member_state::alive, fleet.state(0, one)) << one;
    }
}

TEST(membership, follows_a_host_to_its_next_incarnation)
{
    small_fleet fleet(6);
    fleet.run(absl::Seconds(20));
    fleet.stop(2);
    fleet.run(absl::Seconds(20));
    fleet.add(2, 2);
    fleet.run(absl::Seconds(30));
    EXPECT_EQ(member_state::alive, fleet.state(5, 2));
    EXPECT_EQ(incarnation(2),
              fleet.host(5).members().at(host_id("host-2")).started);
}

TEST(membership, passes_on_who_is_leaving_and_never_takes_it_back)
{
    small_fleet fleet(9);
    fleet.run(absl::Seconds(30));
    fleet.host(7).add_leaving(host_id("engine-host"));
    fleet.run(absl::Seconds(5));
    for (int one = 0; one < 9; ++one)
    {
        EXPECT_TRUE(fleet.host(one).leaving().contains(host_id("engine-host")))
            << one;
    }
}

TEST(membership, sends_a_bounded_number_of_bounded_messages)
{
    small_fleet fleet(60);
    fleet.run(absl::Seconds(60));
    const auto before = fleet.messages();
    fleet.run(absl::Seconds(60));
    const auto each = static_cast<double>(fleet.messages() - before) / 60 / 60;
    EXPECT_LT(each, 8);
    // The configured limit, plus the update for a sender whose state is
    // outdated.
    EXPECT_LE(fleet.largest_message(),
              membership_options().updates_per_message + 1);
}

RC_GTEST_PROP(member, is_overridden_in_one_direction_only, ())
{
    const auto make = []
    {
        member item;
        item.started = incarnation(*rc::gen::inRange(0, 3));
        item.refutation = *rc::gen::inRange(0, 3);
        item.state = static_cast<member_state>(*rc::gen::inRange(0, 4));
        return item;
    };
    const auto one = make();
    const auto other = make();
    RC_ASSERT(!(one.overrides(other) && other.overrides(one)));
    const bool is_same = one.started == other.started &&
                         one.refutation == other.refutation &&
                         one.state == other.state;
    const bool have_both_left =
        one.state == member_state::left && other.state == member_state::left;
    RC_ASSERT(is_same || have_both_left || one.overrides(other) ||
              other.overrides(one));
}

} // namespace
} // namespace daleshelf
