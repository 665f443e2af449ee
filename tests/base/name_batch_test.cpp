#include <gtest/gtest.h>

#include <telemetry/name_batch.hpp>

namespace daleshelf
{
namespace
{

TEST(name_batch, names_the_first_and_counts_all)
{
    name_batch batch(8);
    EXPECT_TRUE(batch.is_empty());
    for (int number = 1; number <= 160; ++number)
    {
        batch.add(std::to_string(number));
    }
    EXPECT_EQ(batch.count(), 160U);
    EXPECT_EQ(batch.names(), "1 2 3 4 5 6 7 8");
    batch.clear();
    EXPECT_TRUE(batch.is_empty());
    EXPECT_EQ(batch.names(), "");
}

} // namespace
} // namespace daleshelf
