#include "poison_message.hpp"

#include "generated/poison.pb.h"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Formats 1 to 6 are other datagrams of hosts: see peers/datagram_format.hpp.
constexpr std::uint32_t poison_format = 7;
// Hosts send no more records in a datagram: a longer one is rejected.
constexpr int record_limit = 64;
// One day: keeps an invalid age from overflowing a time.
constexpr std::int64_t age_limit_ms = 86400000;

std::int64_t age_of(absl::Time at, absl::Time now)
{
    return absl::ToInt64Milliseconds(
        std::min(now - at, absl::Milliseconds(age_limit_ms)));
}

absl::Time time_of(std::int64_t age_ms, absl::Time now)
{
    return now - absl::Milliseconds(
                     std::clamp<std::int64_t>(age_ms, 0, age_limit_ms));
}

void write(wire::PoisonRecord& item, const poison_record& record,
           absl::Time now)
{
    item.set_print(record.fingerprint.value());
    item.set_shape(record.shape);
    item.set_service(record.service.value());
    item.set_is_part(record.kind == suspect_kind::prompt_part);
    item.set_epoch(record.epoch);
    item.set_is_proved(record.is_confirmed);
    for (const auto& [incarnation, crash] : record.crashes)
    {
        auto& entry = *item.add_ends();
        entry.set_server(incarnation.server.value());
        entry.set_born(incarnation.started_ms.value());
        entry.set_age_ms(age_of(crash.at, now));
        entry.set_ran_ms(absl::ToInt64Milliseconds(crash.request_age));
    }
    for (const auto& response : record.responses)
    {
        auto& entry = *item.add_whole();
        entry.set_server(response.incarnation.server.value());
        entry.set_born(response.incarnation.started_ms.value());
        entry.set_host(response.recipient.value());
    }
    if (record.probe.number > 0)
    {
        auto& probe = *item.mutable_trial();
        probe.set_number(record.probe.number);
        probe.set_host(record.probe.host.value());
        probe.set_age_ms(age_of(record.probe.claimed_at, now));
    }
}

poison_record read(const wire::PoisonRecord& item, absl::Time now)
{
    poison_record record;
    record.fingerprint = request_fingerprint(item.print());
    record.shape = item.shape();
    record.service = service_name(item.service());
    record.kind =
        item.is_part() ? suspect_kind::prompt_part : suspect_kind::request;
    record.epoch = item.epoch();
    record.is_confirmed = item.is_proved();
    for (const auto& entry : item.ends())
    {
        const server_incarnation incarnation{upstream_id(entry.server()),
                                             upstream_birth(entry.born())};
        const auto request_age_ms =
            std::clamp<std::int64_t>(entry.ran_ms(), 0, age_limit_ms);
        record.crashes[incarnation] = {time_of(entry.age_ms(), now),
                                       absl::Milliseconds(request_age_ms)};
    }
    for (const auto& entry : item.whole())
    {
        record.responses.insert(
            {{upstream_id(entry.server()), upstream_birth(entry.born())},
             host_id(entry.host())});
    }
    if (item.has_trial())
    {
        record.probe = {item.trial().number(), host_id(item.trial().host()),
                        time_of(item.trial().age_ms(), now)};
    }
    return record;
}

} // namespace

std::string encode_poison(const std::vector<poison_record>& records,
                          absl::Time now)
{
    wire::PoisonWord message;
    message.set_format(poison_format);
    for (const auto& record : records)
    {
        write(*message.add_records(), record, now);
    }
    return message.SerializeAsString();
}

std::optional<std::vector<poison_record>> decode_poison(std::string_view bytes,
                                                        absl::Time now)
{
    wire::PoisonWord message;
    const bool is_message =
        message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) &&
        message.format() == poison_format &&
        message.records_size() <= record_limit;
    if (!is_message)
    {
        return std::nullopt;
    }
    std::vector<poison_record> records;
    for (const auto& item : message.records())
    {
        records.push_back(read(item, now));
    }
    return records;
}

} // namespace daleshelf
