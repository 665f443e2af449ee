#include "claim.hpp"

#include <base/json.hpp>

namespace daleshelf
{

namespace
{

constexpr std::int64_t record_format = 1;

claim claim_from_json(const boost::json::object& fields)
{
    claim decoded;
    decoded.key = claim_key(require_string(fields, "key"));
    decoded.request = request_id(require_string(fields, "request"));
    decoded.body_digest = require_string(fields, "body");
    decoded.time = absl::FromUnixMillis(require_integer(fields, "time_ms"));
    decoded.is_release = find_boolean(fields, "release").value_or(false);
    return decoded;
}

} // namespace

std::string to_record(const std::vector<claim>& claims)
{
    boost::json::array items;
    for (const auto& item : claims)
    {
        boost::json::object fields{{"key", item.key.value()},
                                   {"request", item.request.value()},
                                   {"body", item.body_digest},
                                   {"time_ms", absl::ToUnixMillis(item.time)}};
        if (item.is_release)
        {
            fields["release"] = true;
        }
        items.push_back(std::move(fields));
    }
    return boost::json::serialize(boost::json::object{
        {"format", record_format}, {"claims", std::move(items)}});
}

std::vector<claim> claims_from_record(const std::string& data)
{
    std::vector<claim> claims;
    try
    {
        const auto fields = parse_object(data);
        const auto* items = find_array(fields, "claims");
        if (items == nullptr ||
            require_integer(fields, "format") != record_format)
        {
            return {};
        }
        for (const auto& item : *items)
        {
            claims.push_back(claim_from_json(item.as_object()));
        }
    }
    catch (const std::exception&)
    {
        return {};
    }
    return claims;
}

} // namespace daleshelf
