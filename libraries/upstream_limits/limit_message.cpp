#include "limit_message.hpp"

#include "generated/limit.pb.h"

#include <cmath>

namespace daleshelf
{

namespace
{

// Format number; see peers/datagram_format.hpp.
constexpr std::uint32_t limit_format = 8;
constexpr int max_records = 64;

bool is_valid(const wire::LimitRecord& item)
{
    const bool has_valid_limit =
        !item.has_per_second() ||
        (std::isfinite(item.per_second()) && item.per_second() >= 0);
    const bool has_valid_kind =
        item.kind() <= static_cast<std::uint32_t>(limit_kind::rejections);
    return !item.server().empty() && has_valid_limit && has_valid_kind;
}

} // namespace

std::string encode_limits(const std::vector<limit_record>& records)
{
    wire::LimitUpdates message;
    message.set_format(limit_format);
    for (const auto& record : records)
    {
        auto& item = *message.add_records();
        item.set_server(record.server.id.value());
        item.set_born(record.server.started_at.value());
        item.set_named_at_ms(absl::ToUnixMillis(record.advertised_at));
        item.set_kind(static_cast<std::uint32_t>(record.kind));
        if (record.per_second)
        {
            item.set_per_second(*record.per_second);
        }
    }
    return message.SerializeAsString();
}

std::optional<std::vector<limit_record>> decode_limits(std::string_view bytes)
{
    wire::LimitUpdates message;
    const bool is_message =
        message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) &&
        message.format() == limit_format &&
        message.records_size() <= max_records;
    if (!is_message)
    {
        return std::nullopt;
    }
    std::vector<limit_record> records;
    for (const auto& item : message.records())
    {
        if (!is_valid(item))
        {
            continue;
        }
        limit_record record;
        record.server = {upstream_id(item.server()),
                         upstream_birth(item.born())};
        record.advertised_at = absl::FromUnixMillis(item.named_at_ms());
        record.kind = static_cast<limit_kind>(item.kind());
        if (item.has_per_second())
        {
            record.per_second = item.per_second();
        }
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace daleshelf
