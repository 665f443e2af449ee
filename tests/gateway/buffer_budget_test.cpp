#include <gtest/gtest.h>

#include <gateway/buffer_share.hpp>
#include <memory>
#include <vector>

namespace daleshelf
{
namespace
{

TEST(buffer_budget, counts_what_all_exchanges_hold_back)
{
    buffer_budget budget;
    {
        buffer_share one(budget);
        buffer_share other(budget);
        one.set(100);
        other.set(20);
        one.set(30);
        EXPECT_EQ(budget.held(), 50);
    }
    EXPECT_EQ(budget.held(), 0);
}

TEST(buffer_budget, allows_each_exchange_less_once_all_hold_much)
{
    buffer_budget budget;
    const auto usual = budget.allowance();
    std::vector<std::unique_ptr<buffer_share>> shares;
    while (budget.allowance() == usual)
    {
        ASSERT_LT(shares.size(), 1000);
        shares.push_back(std::make_unique<buffer_share>(budget));
        shares.back()->set(usual);
    }
    EXPECT_LT(budget.allowance(), usual);
    shares.clear();
    EXPECT_EQ(budget.allowance(), usual);
}

} // namespace
} // namespace daleshelf
