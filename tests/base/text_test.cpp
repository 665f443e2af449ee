#include <gtest/gtest.h>

#include <base/text.hpp>

namespace daleshelf
{
namespace
{

TEST(text, visible_ascii_has_neither_spaces_nor_control_characters)
{
    EXPECT_TRUE(is_visible_ascii("i-7f3a_91.c2~"));
    for (const std::string text : {"", " ", "a b", "a\n", "\x7f", "\xc3\xa9"})
    {
        EXPECT_FALSE(is_visible_ascii(text)) << text;
    }
}

TEST(text, utf8_is_told_from_other_bytes)
{
    for (const std::string text : {"", "plain", "\xc3\xa9", "\xe2\x82\xac"})
    {
        EXPECT_TRUE(is_valid_utf8(text)) << text;
    }
    for (const std::string text :
         {"\xff", "\xc3", "a\xe2\x82", "\xc0\xaf", "\xed\xa0\x80"})
    {
        EXPECT_FALSE(is_valid_utf8(text)) << text;
    }
}

TEST(text, a_query_holds_any_bytes)
{
    EXPECT_EQ(percent_encode("a-b.c_d~9"), "a-b.c_d~9");
    EXPECT_EQ(percent_encode(std::string("\0 &\xff", 4)), "%00%20%26%FF");
}

} // namespace
} // namespace daleshelf
