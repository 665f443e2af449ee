#include "topic_records.hpp"

#include "compression.hpp"
#include "datagram_format.hpp"
#include "generated/machine.pb.h"

namespace daleshelf
{

std::vector<shared_records>
split_records(const std::string& topic, log_offset from,
              const std::vector<shared_record>& records, std::size_t part_bytes)
{
    std::vector<shared_records> parts{{topic, from, from, {}, {}}};
    std::size_t bytes = 0;
    for (const auto& record : records)
    {
        const auto size = record.key.size() + record.value.size();
        if (bytes > 0 && bytes + size > part_bytes)
        {
            parts.push_back({topic, record.offset, record.offset, {}, {}});
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
    wire::RecordList list;
    for (const auto& record : records.records)
    {
        auto& item = *list.add_records();
        item.set_offset(record.offset.value());
        item.set_key(record.key);
        item.set_value(record.value);
    }
    wire::TopicRecords message;
    message.set_format(static_cast<std::uint32_t>(datagram_format::records));
    message.set_topic(records.topic);
    message.set_from(records.from.value());
    message.set_next(records.next.value());
    message.set_root(records.root.value());
    if (!records.records.empty())
    {
        message.set_packed(compress(list.SerializeAsString()));
    }
    return message.SerializeAsString();
}

std::optional<shared_records> decode_shared_records(std::string_view bytes)
{
    wire::TopicRecords message;
    const bool is_valid =
        format_of(bytes) == datagram_format::records &&
        message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!is_valid)
    {
        return std::nullopt;
    }
    std::optional<std::string> list_bytes = std::string();
    if (!message.packed().empty())
    {
        list_bytes = decompress(message.packed());
    }
    wire::RecordList list;
    if (!list_bytes || !list.ParseFromString(*list_bytes))
    {
        return std::nullopt;
    }
    shared_records records;
    records.topic = message.topic();
    records.from = log_offset(message.from());
    records.next = log_offset(message.next());
    records.root = host_id(message.root());
    for (const auto& item : list.records())
    {
        records.records.push_back(
            {log_offset(item.offset()), item.key(), item.value()});
    }
    return records;
}

} // namespace daleshelf
