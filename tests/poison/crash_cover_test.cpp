#include <gtest/gtest.h>

#include <initializer_list>
#include <poison/crash_cover.hpp>

namespace daleshelf
{
namespace
{

constexpr double age_spread = 3;

server_incarnation incarnation_of(int number)
{
    return {upstream_id("s" + std::to_string(number)), {}};
}

poison_record record_of(const std::string& name,
                        std::initializer_list<int> upstreams)
{
    poison_record record;
    record.fingerprint = request_fingerprint(name);
    for (const int upstream : upstreams)
    {
        record.crashes[incarnation_of(upstream)] = {absl::UnixEpoch(),
                                                    absl::Seconds(1)};
    }
    return record;
}

class crash_cover_test : public testing::Test
{
protected:
    crash_cover m_cover{age_spread};
};

TEST_F(crash_cover_test, several_requests_explain_the_crashes_of_one)
{
    const auto bystander = record_of("bystander", {1, 2, 3});
    m_cover.set_confirmed(
        {record_of("a", {1, 2, 4}), bystander, record_of("b", {3, 5, 6})});
    EXPECT_TRUE(m_cover.explains(bystander));
    EXPECT_FALSE(m_cover.explains(record_of("other", {1, 7})));
}

TEST_F(crash_cover_test, requests_of_the_cover_are_explained_by_no_other)
{
    const auto first = record_of("a", {1, 2, 4});
    const auto second = record_of("b", {3, 5, 6});
    m_cover.set_confirmed({first, record_of("bystander", {1, 2, 3}), second});
    EXPECT_FALSE(m_cover.explains(first));
    EXPECT_FALSE(m_cover.explains(second));
}

// Of two requests with the same crashes either may be the cause: neither
// releases the other.
TEST_F(crash_cover_test, requests_with_the_same_crashes_stay)
{
    const auto first = record_of("a", {1, 2, 3});
    const auto second = record_of("b", {1, 2, 3});
    m_cover.set_confirmed({first, second});
    EXPECT_FALSE(m_cover.explains(first));
    EXPECT_FALSE(m_cover.explains(second));
}

// A request that ran for a tenth of its usual time is not the cause of a crash.
TEST_F(crash_cover_test, a_request_explains_no_crash_that_it_was_too_young_for)
{
    auto young = record_of("young", {1, 2, 3, 4});
    young.crashes[incarnation_of(1)].request_age = absl::Milliseconds(100);
    m_cover.set_confirmed({young});
    EXPECT_FALSE(m_cover.explains(record_of("other", {1, 2})));
    EXPECT_TRUE(m_cover.explains(record_of("other", {2, 3})));
}

TEST_F(crash_cover_test, a_request_that_was_answered_more_explains_nothing)
{
    auto answered = record_of("answered", {1, 2, 3});
    answered.responses.insert({incarnation_of(8), host_id("h")});
    m_cover.set_confirmed({answered});
    EXPECT_FALSE(m_cover.explains(record_of("other", {1, 2})));
}

} // namespace
} // namespace daleshelf
