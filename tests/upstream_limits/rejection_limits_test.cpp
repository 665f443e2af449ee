#include <gtest/gtest.h>

#include <upstream_limits/rejection_limits.hpp>

namespace daleshelf
{
namespace
{

const service_name service("service");
const upstream_incarnation first{upstream_id("first"), upstream_birth(1)};
const upstream_incarnation second{upstream_id("second"), upstream_birth(1)};

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

class rejection_limits_test : public testing::Test
{
protected:
    void respond(const upstream_incarnation& server,
                 std::optional<double> limit, double seconds)
    {
        m_limits.record_response({server, service, limit, at(seconds)},
                                 at(seconds), at(seconds));
    }

    std::optional<double> limit_of(const upstream_incarnation& server,
                                   double seconds)
    {
        return m_limits.limit_of(server, service, at(seconds));
    }

    rejection_limits m_limits;
};

TEST_F(rejection_limits_test, others_of_the_service_are_presumed_to_be_brittle)
{
    EXPECT_FALSE(limit_of(second, 1));
    respond(first, 2, 1);
    EXPECT_EQ(limit_of(second, 1), 2);
    EXPECT_FALSE(m_limits.limit_of(second, service_name("other"), at(1)));
    respond(second, std::nullopt, 2);
    EXPECT_FALSE(limit_of(second, 2));
    EXPECT_EQ(limit_of(first, 2), 2);
}

TEST_F(rejection_limits_test, a_new_incarnation_is_presumed_to_be_brittle)
{
    respond(first, 2, 1);
    const upstream_incarnation restarted{first.id, upstream_birth(2)};
    EXPECT_EQ(limit_of(restarted, 5), 2);
    EXPECT_FALSE(limit_of(restarted, 17));
}

TEST_F(rejection_limits_test, a_limit_is_kept_once_keepers_know_the_requests)
{
    respond(first, 2, 1);
    EXPECT_FALSE(m_limits.is_introduced(service, at(1.9), at(1.9)));
    EXPECT_TRUE(m_limits.is_introduced(service, at(2), at(2)));
    // A restart does not begin the introduction again.
    respond({first.id, upstream_birth(2)}, 2, 3);
    EXPECT_TRUE(m_limits.is_introduced(service, at(3), at(3)));
}

TEST_F(rejection_limits_test, a_response_without_the_limit_ends_it)
{
    respond(first, 2, 1);
    respond(first, std::nullopt, 2);
    EXPECT_FALSE(limit_of(first, 2));
}

} // namespace
} // namespace daleshelf
