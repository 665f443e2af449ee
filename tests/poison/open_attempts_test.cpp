#include <gtest/gtest.h>

#include <poison/open_attempts.hpp>

namespace daleshelf
{
namespace
{

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

server_life life(const std::string& id)
{
    return {upstream_id(id), {}};
}

open_attempt attempt(const std::string& print, double ended)
{
    return {{request_print(print), 1, service_name("service")},
            at(ended - 1),
            at(ended)};
}

TEST(open_attempts_test, gives_what_was_at_the_life_that_is_over_once)
{
    open_attempts attempts(10, absl::Seconds(2));
    attempts.note(life("a"), attempt("one", 1));
    attempts.note(life("b"), attempt("other", 1));
    attempts.note(life("a"), attempt("two", 2));
    EXPECT_EQ(attempts.take(life("a"), at(2)).size(), 2);
    EXPECT_FALSE(attempts.has(life("a"), at(2)));
    EXPECT_TRUE(attempts.has(life("b"), at(2)));
}

TEST(open_attempts_test, forgets_what_is_old)
{
    open_attempts attempts(10, absl::Seconds(2));
    attempts.note(life("a"), attempt("one", 1));
    EXPECT_TRUE(attempts.has(life("a"), at(3)));
    EXPECT_FALSE(attempts.has(life("a"), at(3.1)));
}

TEST(open_attempts_test, keeps_the_newest_of_many)
{
    open_attempts attempts(2, absl::Seconds(2));
    for (const auto* print : {"one", "two", "three"})
    {
        attempts.note(life("a"), attempt(print, 1));
    }
    const auto taken = attempts.take(life("a"), at(1));
    ASSERT_EQ(taken.size(), 2);
    EXPECT_EQ(taken.front().request.print, request_print("two"));
}

} // namespace
} // namespace daleshelf
