#include <gtest/gtest.h>

#include <rollouts/version_gate.hpp>

namespace daleshelf
{
namespace
{

const service_name engines("engines");
const version_name old_version("v1");
const version_name new_version("v2");

absl::Time at(double second)
{
    return absl::UnixEpoch() + absl::Seconds(second);
}

rollout_order order_of(const version_name& target, std::int64_t offset)
{
    return {engines, target, absl::Seconds(14), log_offset(offset)};
}

class version_gate_test : public testing::Test
{
protected:
    version_gate_test()
    {
        gate.record_server(engines, old_version, true, at(0));
        gate.set_orders_known_at(at(1));
    }

    version_gate gate;
};

TEST_F(version_gate_test, the_target_of_an_order_gets_no_requests)
{
    gate.set_order(order_of(new_version, 5));
    gate.record_server(engines, new_version, false, at(10));
    gate.set_orders_known_at(at(20));
    EXPECT_FALSE(gate.allows(engines, new_version));
    EXPECT_TRUE(gate.allows(engines, old_version));
}

// The list of upstreams may be read before the order that started them.
TEST_F(version_gate_test, a_new_version_waits_until_its_order_would_be_known)
{
    gate.record_server(engines, new_version, false, at(10));
    EXPECT_FALSE(gate.allows(engines, new_version));
    gate.set_orders_known_at(at(9.9));
    EXPECT_FALSE(gate.allows(engines, new_version));
    gate.set_orders_known_at(at(10.1));
    EXPECT_TRUE(gate.allows(engines, new_version));
}

TEST_F(version_gate_test, a_version_that_a_later_order_targets_is_excluded)
{
    gate.record_server(engines, new_version, false, at(10));
    gate.set_orders_known_at(at(11));
    gate.set_order(order_of(new_version, 5));
    EXPECT_FALSE(gate.allows(engines, new_version));
}

TEST_F(version_gate_test, an_older_order_is_ignored)
{
    gate.record_server(engines, new_version, false, at(10));
    EXPECT_TRUE(gate.set_order(order_of(old_version, 7)));
    EXPECT_FALSE(gate.set_order(order_of(new_version, 5)));
    gate.set_orders_known_at(at(11));
    EXPECT_FALSE(gate.allows(engines, old_version));
    EXPECT_TRUE(gate.allows(engines, new_version));
}

TEST_F(version_gate_test, a_completed_version_is_allowed_and_stays_so)
{
    gate.set_order(order_of(new_version, 5));
    gate.record_server(engines, new_version, false, at(10));
    const log_offset offset(5);
    EXPECT_FALSE(gate.set_phase(engines, log_offset(4),
                                rollout_phase::completed, at(12)));
    EXPECT_TRUE(
        gate.set_phase(engines, offset, rollout_phase::completed, at(12)));
    EXPECT_FALSE(
        gate.set_phase(engines, offset, rollout_phase::rolled_back, at(12)));
    EXPECT_TRUE(gate.allows(engines, new_version));
}

// Old upstreams stop without notice and remain listed for some seconds.
TEST_F(version_gate_test, a_replaced_version_gets_no_requests_until_restarted)
{
    gate.set_order(order_of(new_version, 5));
    gate.record_server(engines, new_version, false, at(10));
    gate.set_phase(engines, log_offset(5), rollout_phase::completed, at(12));
    EXPECT_FALSE(gate.allows(engines, old_version));
    gate.record_server(engines, old_version, false, at(14));
    EXPECT_FALSE(gate.allows(engines, old_version));
    gate.record_server(engines, old_version, false, at(40));
    EXPECT_TRUE(gate.allows(engines, old_version));
}

TEST_F(version_gate_test, a_rolled_back_version_gets_no_requests)
{
    gate.set_order(order_of(new_version, 5));
    gate.record_server(engines, new_version, false, at(10));
    gate.set_phase(engines, log_offset(5), rollout_phase::rolled_back, at(12));
    gate.set_orders_known_at(at(20));
    EXPECT_FALSE(gate.allows(engines, new_version));
}

TEST_F(version_gate_test, a_running_target_may_continue_its_streams)
{
    gate.set_order(order_of(new_version, 5));
    gate.record_server(engines, new_version, false, at(10));
    EXPECT_TRUE(gate.allows_resumption(engines, new_version));
    EXPECT_TRUE(gate.allows_resumption(engines, old_version));
    gate.set_phase(engines, log_offset(5), rollout_phase::rolled_back, at(12));
    EXPECT_FALSE(gate.allows_resumption(engines, new_version));
    EXPECT_TRUE(gate.allows_resumption(engines, old_version));
}

TEST_F(version_gate_test, a_replaced_version_continues_no_streams)
{
    gate.set_order(order_of(new_version, 5));
    gate.record_server(engines, new_version, false, at(10));
    gate.set_phase(engines, log_offset(5), rollout_phase::completed, at(12));
    EXPECT_TRUE(gate.allows_resumption(engines, new_version));
    EXPECT_FALSE(gate.allows_resumption(engines, old_version));
}

// An order for the version in use must not stop the service.
TEST_F(version_gate_test, the_only_version_is_allowed)
{
    gate.set_order(order_of(old_version, 5));
    EXPECT_TRUE(gate.allows(engines, old_version));
}

// A host that starts during a rollout finds both versions in its first list.
TEST(version_gate, a_host_that_starts_excludes_the_target)
{
    version_gate gate;
    gate.record_server(engines, new_version, true, at(0));
    gate.record_server(engines, old_version, true, at(0));
    gate.set_order(order_of(new_version, 5));
    EXPECT_FALSE(gate.allows(engines, new_version));
    EXPECT_TRUE(gate.allows(engines, old_version));
}

TEST(version_gate, a_removed_order_excludes_no_version)
{
    version_gate gate;
    gate.record_server(engines, old_version, true, at(0));
    gate.set_order(order_of(new_version, 5));
    gate.record_server(engines, new_version, false, at(10));
    gate.set_orders_known_at(at(11));
    EXPECT_TRUE(gate.remove_order(engines));
    EXPECT_FALSE(gate.remove_order(engines));
    EXPECT_TRUE(gate.allows(engines, new_version));
}

} // namespace
} // namespace daleshelf
