#include "json.hpp"

namespace daleshelf
{

namespace
{

const boost::json::value* find(const boost::json::object& object,
                               std::string_view key)
{
    const auto* value = object.if_contains({key.data(), key.size()});
    return value == nullptr || value->is_null() ? nullptr : value;
}

[[noreturn]] void fail(std::string_view key, std::string_view allowed)
{
    throw json_error("field '" + std::string(key) + "' must be " +
                     std::string(allowed));
}

} // namespace

boost::json::object parse_object(std::string_view text, json_strings strings)
{
    boost::json::parse_options options;
    options.allow_invalid_utf8 = strings == json_strings::any_bytes;
    boost::json::error_code error;
    auto value =
        boost::json::parse({text.data(), text.size()}, error, {}, options);
    if (error)
    {
        throw json_error("malformed JSON: " + error.message());
    }
    if (!value.is_object())
    {
        throw json_error("the JSON text must be an object");
    }
    return std::move(value.as_object());
}

std::optional<std::string> find_string(const boost::json::object& object,
                                       std::string_view key)
{
    const auto* value = find(object, key);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    if (!value->is_string())
    {
        fail(key, "a string");
    }
    return std::string(value->as_string());
}

std::optional<std::int64_t> find_integer(const boost::json::object& object,
                                         std::string_view key)
{
    const auto* value = find(object, key);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    boost::json::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    if (error)
    {
        fail(key, "a whole number");
    }
    return number;
}

std::optional<double> find_number(const boost::json::object& object,
                                  std::string_view key)
{
    const auto* value = find(object, key);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    boost::json::error_code error;
    const auto number = value->to_number<double>(error);
    if (error)
    {
        fail(key, "a number");
    }
    return number;
}

std::optional<bool> find_boolean(const boost::json::object& object,
                                 std::string_view key)
{
    const auto* value = find(object, key);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    if (!value->is_bool())
    {
        fail(key, "true or false");
    }
    return value->as_bool();
}

const boost::json::array* find_array(const boost::json::object& object,
                                     std::string_view key)
{
    const auto* value = find(object, key);
    if (value != nullptr && !value->is_array())
    {
        fail(key, "an array");
    }
    return value == nullptr ? nullptr : &value->get_array();
}

const boost::json::object* find_object(const boost::json::object& object,
                                       std::string_view key)
{
    const auto* value = find(object, key);
    if (value != nullptr && !value->is_object())
    {
        fail(key, "an object");
    }
    return value == nullptr ? nullptr : &value->get_object();
}

std::string require_string(const boost::json::object& object,
                           std::string_view key)
{
    auto value = find_string(object, key);
    if (!value)
    {
        fail(key, "given, as a string");
    }
    return *value;
}

std::int64_t require_integer(const boost::json::object& object,
                             std::string_view key)
{
    const auto value = find_integer(object, key);
    if (!value)
    {
        fail(key, "given, as a whole number");
    }
    return *value;
}

} // namespace daleshelf
