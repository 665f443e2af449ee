/// @file
/// Everything that hosts send each other: a datagram is read or it is nothing,
/// and what was read says the same once it has been written again.

#include "fuzz_input.hpp"

#include <array>
#include <load_sharing/load_message.hpp>
#include <peers/host_state.hpp>
#include <peers/topic_records.hpp>
#include <peers/window_counts.hpp>
#include <poison/poison_detector.hpp>
#include <poison/poison_message.hpp>
#include <quotas/quota_message.hpp>
#include <rollouts/rollout_message.hpp>
#include <streams/origin_message.hpp>
#include <upstream_limits/limit_message.hpp>
#include <upstream_limits/limit_table.hpp>
#include <upstream_limits/shared_slots.hpp>

namespace daleshelf::fuzz
{
namespace
{

/// @tparam Decode one of the decoders of datagrams
template <auto Decode>
void read_again(std::string_view bytes)
{
    const auto message = Decode(bytes);
    if (!message)
    {
        return;
    }
    const auto written = encode(*message);
    const auto again = Decode(written);
    require(again.has_value(), "what was written can be read");
    require(encode(*again) == written, "what was read twice is the same");
}

// What is told of requests goes with ages: one time for reading and writing.
// Whatever comes, the watch takes it and can judge.
void read_poison_again(std::string_view bytes)
{
    const auto now = absl::UnixEpoch() + absl::Hours(1000);
    const auto records = decode_poison(bytes, now);
    if (!records)
    {
        return;
    }
    const auto written = encode_poison(*records, now);
    const auto again = decode_poison(written, now);
    require(again.has_value(), "what was written can be read");
    require(encode_poison(*again, now) == written,
            "what was read twice is the same");
    poison_detector watch{poison_options()};
    for (const auto& record : *records)
    {
        watch.merge(record, now);
        (void)watch.judge(record.fingerprint, 3, now);
        (void)watch.time_to_probe(record.fingerprint, now);
    }
}

// The table merges and repeats any record that can be read.
void read_limits_again(std::string_view bytes)
{
    const auto records = decode_limits(bytes);
    if (!records)
    {
        return;
    }
    const auto written = encode_limits(*records);
    const auto again = decode_limits(written);
    require(again.has_value(), "what was written can be read");
    require(encode_limits(*again) == written,
            "what was read twice is the same");
    const auto now = absl::UnixEpoch() + absl::Hours(1000);
    limit_table table;
    for (const auto& record : *records)
    {
        table.merge(record, now);
        table.record_response({record.server, 1.0, now}, now, now);
    }
    require(table.limited_count() <= records->size(),
            "each upstream counts once");
    (void)table.next_to_repeat(4);
}

// The sums that a host makes of any message can be sent on.
void read_loads_again(std::string_view bytes)
{
    const auto message = decode_load_message(bytes);
    if (!message)
    {
        return;
    }
    const auto written = encode(*message);
    const auto again = decode_load_message(written);
    require(again.has_value(), "what was written can be read");
    require(encode(*again) == written, "what was read twice is the same");
    auto sum = *message;
    sum.report.add(message->report);
    sum.report.subtract(message->report);
    require(decode_load_message(encode(sum)).has_value(), "a sum can be read");
}

// The host keeps and grants slots by any message that can be read.
void read_slots_again(std::string_view bytes)
{
    const auto message = decode_slot_message(bytes);
    if (!message)
    {
        return;
    }
    const auto written = encode(*message);
    const auto again = decode_slot_message(written);
    require(again.has_value(), "what was written can be read");
    require(encode(*again) == written, "what was read twice is the same");
    const auto now = absl::UnixEpoch() + absl::Hours(1000);
    shared_slots slots(host_id("self"), hall_id("hall"), incarnation(1));
    for (const auto time : {now, now + absl::Seconds(1)})
    {
        (void)slots.receive(*message, time);
        (void)slots.tick(time);
    }
    for (const auto& use : message->uses)
    {
        require(slots.ledger().in_use(use.server.id, now) >= 0,
                "a use is no negative number");
    }
}

constexpr std::array readers{&read_again<decode_host_state>,
                             &read_again<decode_shared_records>,
                             &read_again<decode_window_counts>,
                             &read_again<decode_quota_message>,
                             &read_again<decode_rollout_directive>,
                             &read_again<decode_rollout_report>,
                             &read_poison_again,
                             &read_limits_again,
                             &read_again<decode_origins>,
                             &read_loads_again,
                             &read_slots_again};

} // namespace
} // namespace daleshelf::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size)
{
    using namespace daleshelf::fuzz;
    fuzz_input input(bytes, size);
    const auto reader = readers[input.take_choice(readers.size())]; // NOLINT
    reader(input.rest());
    return 0;
}
