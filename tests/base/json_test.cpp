#include <gtest/gtest.h>

#include <base/json.hpp>

namespace daleshelf
{
namespace
{

TEST(json_fields, names_the_field_that_has_the_wrong_type)
{
    const auto object = parse_object(R"({"model": 7})");
    try
    {
        (void)require_string(object, "model");
        FAIL() << "a number was taken for a string";
    }
    catch (const json_error& error)
    {
        EXPECT_STREQ("field 'model' must be a string", error.what());
    }
}

TEST(json_fields, treats_null_as_absent)
{
    const auto object = parse_object(R"({"stream": null})");
    EXPECT_EQ(std::nullopt, find_boolean(object, "stream"));
}

TEST(json_fields, refuses_a_text_that_is_no_object)
{
    EXPECT_THROW((void)parse_object("[1]"), json_error);
    EXPECT_THROW((void)parse_object("{"), json_error);
}

} // namespace
} // namespace daleshelf
