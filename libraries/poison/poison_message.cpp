#include "poison_message.hpp"

#include "generated/poison.pb.h"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Formats 1 to 6 are other words of hosts: see peers/datagram_format.hpp.
constexpr std::uint32_t poison_format = 7;
// A host tells of no more; what comes beside is no word of one.
constexpr int most_told = 64;
// A day: an age that is wrong by far must not overflow.
constexpr std::int64_t longest_age_ms = 86400000;

std::int64_t age_of(absl::Time at, absl::Time now)
{
    return absl::ToInt64Milliseconds(
        std::min(now - at, absl::Milliseconds(longest_age_ms)));
}

absl::Time time_of(std::int64_t age_ms, absl::Time now)
{
    return now - absl::Milliseconds(
                     std::clamp<std::int64_t>(age_ms, 0, longest_age_ms));
}

void write(wire::PoisonRecord& item, const poison_record& record,
           absl::Time now)
{
    item.set_print(record.print.value());
    item.set_shape(record.shape);
    item.set_service(record.service.value());
    item.set_epoch(record.epoch);
    item.set_is_proved(record.is_proved);
    for (const auto& [life, end] : record.ends)
    {
        auto& told = *item.add_ends();
        told.set_server(life.server.value());
        told.set_born(life.born.value());
        told.set_age_ms(age_of(end.at, now));
        told.set_ran_ms(absl::ToInt64Milliseconds(end.ran));
    }
    for (const auto& given : record.whole)
    {
        auto& told = *item.add_whole();
        told.set_server(given.life.server.value());
        told.set_born(given.life.born.value());
        told.set_host(given.to.value());
    }
    if (record.trial.number > 0)
    {
        auto& trial = *item.mutable_trial();
        trial.set_number(record.trial.number);
        trial.set_host(record.trial.host.value());
        trial.set_age_ms(age_of(record.trial.claimed_at, now));
    }
}

poison_record read(const wire::PoisonRecord& item, absl::Time now)
{
    poison_record record;
    record.print = request_print(item.print());
    record.shape = item.shape();
    record.service = service_name(item.service());
    record.epoch = item.epoch();
    record.is_proved = item.is_proved();
    for (const auto& told : item.ends())
    {
        const server_life life{upstream_id(told.server()),
                               upstream_birth(told.born())};
        const auto ran =
            std::clamp<std::int64_t>(told.ran_ms(), 0, longest_age_ms);
        record.ends[life] = {time_of(told.age_ms(), now),
                             absl::Milliseconds(ran)};
    }
    for (const auto& told : item.whole())
    {
        record.whole.insert(
            {{upstream_id(told.server()), upstream_birth(told.born())},
             host_id(told.host())});
    }
    if (item.has_trial())
    {
        record.trial = {item.trial().number(), host_id(item.trial().host()),
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
        message.records_size() <= most_told;
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
