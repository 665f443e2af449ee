// Guards against memory that grows with the size of records: a topic's newest
// records were bounded in number only.
#include <gtest/gtest.h>

#include <gateway/record_window.hpp>

namespace daleshelf
{
namespace
{

platform::keyed_record record_at(std::int64_t offset, std::size_t size)
{
    return {log_offset(offset), "key", std::string(size, 'x')};
}

TEST(record_window, returns_the_newest_records_in_order)
{
    record_window window(10, 1000);
    for (int offset = 0; offset < 4; ++offset)
    {
        window.push(record_at(offset, 1));
    }
    const auto newest = window.newest(2);
    ASSERT_TRUE(newest);
    ASSERT_EQ(newest->size(), 2U);
    EXPECT_EQ(newest->front().offset, log_offset(2));
    EXPECT_EQ(newest->back().offset, log_offset(3));
    EXPECT_FALSE(window.newest(5));
    EXPECT_EQ(window.newest(0)->size(), 0U);
}

TEST(record_window, is_bounded_in_number)
{
    record_window window(10, 1000);
    for (int offset = 0; offset < 100; ++offset)
    {
        window.push(record_at(offset, 1));
    }
    EXPECT_TRUE(window.newest(10));
    EXPECT_FALSE(window.newest(11));
}

TEST(record_window, is_bounded_in_bytes)
{
    constexpr std::size_t max_bytes = 1000;
    record_window window(100, max_bytes);
    for (int offset = 0; offset < 100; ++offset)
    {
        window.push(record_at(offset, 300));
        EXPECT_LE(window.bytes(), max_bytes);
    }
    EXPECT_TRUE(window.newest(3));
    EXPECT_FALSE(window.newest(4));
}

TEST(record_window, drops_a_record_beyond_its_bound)
{
    record_window window(100, 1000);
    window.push(record_at(0, 10));
    window.push(record_at(1, 2000));
    EXPECT_FALSE(window.newest(1)) << "no record may be left out";
    EXPECT_EQ(window.bytes(), 0U);
    window.push({log_offset(2), "key", std::nullopt});
    ASSERT_TRUE(window.newest(1));
    EXPECT_EQ(window.newest(1)->front().offset, log_offset(2));
}

TEST(record_window, is_empty_once_cleared)
{
    record_window window(100, 1000);
    window.push(record_at(0, 10));
    window.clear();
    EXPECT_EQ(window.bytes(), 0U);
    EXPECT_FALSE(window.newest(1));
}

} // namespace
} // namespace daleshelf
