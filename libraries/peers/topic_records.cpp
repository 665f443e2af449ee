#include "topic_records.hpp"

#include "generated/machine.pb.h"

namespace daleshelf
{

std::vector<shared_records>
split_records(const std::string& topic, log_offset from,
              const std::vector<shared_record>& records, std::size_t part_bytes)
{
    std::vector<shared_records> parts{{topic, from, from, {}}};
    std::size_t bytes = 0;
    for (const auto& record : records)
    {
        const auto size = record.key.size() + record.value.size();
        if (bytes > 0 && bytes + size > part_bytes)
        {
            parts.push_back({topic, record.offset, record.offset, {}});
            bytes = 0;
        }
        bytes += size;
        parts.back().records.push_back(record);
        parts.back().next = record.offset.next();
    }
    return parts;
}

std::string encode(const shared_records& records)
{
    wire::TopicRecords message;
    message.set_topic(records.topic);
    message.set_from(records.from.value());
    message.set_next(records.next.value());
    for (const auto& record : records.records)
    {
        auto& item = *message.add_records();
        item.set_offset(record.offset.value());
        item.set_key(record.key);
        item.set_value(record.value);
    }
    return message.SerializeAsString();
}

std::optional<shared_records> decode_shared_records(std::string_view bytes)
{
    wire::TopicRecords message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return std::nullopt;
    }
    shared_records records;
    records.topic = message.topic();
    records.from = log_offset(message.from());
    records.next = log_offset(message.next());
    for (const auto& item : message.records())
    {
        records.records.push_back(
            {log_offset(item.offset()), item.key(), item.value()});
    }
    return records;
}

} // namespace daleshelf
