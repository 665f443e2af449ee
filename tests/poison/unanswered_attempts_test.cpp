#include <gtest/gtest.h>

#include <poison/unanswered_attempts.hpp>

namespace daleshelf
{
namespace
{

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

server_incarnation incarnation_of(const std::string& id)
{
    return {upstream_id(id), {}};
}

unanswered_attempt attempt(const std::string& fingerprint, double ended)
{
    return {{request_fingerprint(fingerprint), 1, service_name("service")},
            at(ended - 1),
            at(ended)};
}

TEST(unanswered_attempts_test, takes_the_attempts_of_an_incarnation_once)
{
    unanswered_attempts attempts(10, absl::Seconds(2));
    attempts.add(incarnation_of("a"), attempt("one", 1));
    attempts.add(incarnation_of("b"), attempt("other", 1));
    attempts.add(incarnation_of("a"), attempt("two", 2));
    EXPECT_EQ(attempts.take(incarnation_of("a"), at(2)).size(), 2);
    EXPECT_FALSE(attempts.has(incarnation_of("a"), at(2)));
    EXPECT_TRUE(attempts.has(incarnation_of("b"), at(2)));
}

TEST(unanswered_attempts_test, old_attempts_expire)
{
    unanswered_attempts attempts(10, absl::Seconds(2));
    attempts.add(incarnation_of("a"), attempt("one", 1));
    EXPECT_TRUE(attempts.has(incarnation_of("a"), at(3)));
    EXPECT_FALSE(attempts.has(incarnation_of("a"), at(3.1)));
}

TEST(unanswered_attempts_test, keeps_the_newest_of_many)
{
    unanswered_attempts attempts(2, absl::Seconds(2));
    for (const auto* fingerprint : {"one", "two", "three"})
    {
        attempts.add(incarnation_of("a"), attempt(fingerprint, 1));
    }
    const auto taken = attempts.take(incarnation_of("a"), at(1));
    ASSERT_EQ(taken.size(), 2);
    EXPECT_EQ(taken.front().request.fingerprint, request_fingerprint("two"));
}

} // namespace
} // namespace daleshelf
