/// @file
/// Everything that is read from the platform's store. Anybody may write there:
/// a reader takes the bytes or throws `json_error`, and nothing else.

#include "fuzz_input.hpp"

#include <array>
#include <base/json.hpp>
#include <duties/duty_ledger.hpp>
#include <platform/configuration_format.hpp>
#include <platform/rollout_format.hpp>
#include <platform/store_calls.hpp>

namespace daleshelf::fuzz
{
namespace
{

void read_a_page(std::string_view bytes)
{
    const auto page = platform::read_page(bytes);
    auto offset = page.first;
    for (const auto& record : page.records)
    {
        const auto read = platform::decode_keyed(record, offset);
        require(read.offset == offset, "a record keeps its offset");
        require(read.is_readable() || !read.value,
                "a record without a key has no value");
        offset = offset.next();
    }
}

void read_a_record(std::string_view bytes)
{
    const auto read = platform::decode_keyed(bytes, log_offset(3));
    if (read.is_readable())
    {
        require(platform::encode_keyed(read.key, read.value.value_or("")) ==
                    bytes,
                "a record comes back as it was");
    }
}

void read_a_list(std::string_view bytes)
{
    const auto page = platform::read_newest(bytes);
    for (const auto& record : page.records)
    {
        require(record.is_readable(), "a listed record has a key");
    }
    require(page.records.empty() || page.last_key == page.records.back().key,
            "a list goes on after its last key");
}

void read_a_configuration(std::string_view bytes)
{
    (void)platform::read_configuration(bytes);
}

void read_an_entry(std::string_view bytes)
{
    const auto entry = platform::read_server("i-1", bytes);
    require(!entry.service.value().empty(), "an entry names a service");
    require(!entry.hall.value().empty(), "an entry names a hall");
    require(entry.slots > 0, "an entry has places");
}

void read_a_rollout(std::string_view bytes)
{
    (void)platform::read_rollout(bytes, log_offset(3));
    (void)platform::read_rollout_status(service_name("s"), bytes);
}

void read_an_append(std::string_view bytes)
{
    constexpr std::array statuses{200, 412, 503};
    for (const auto status : statuses)
    {
        (void)platform::read_append_response(status, bytes);
    }
}

// Whoever holds the duties, a record of nobody's takes them from no one.
void read_a_duty(std::string_view bytes)
{
    duty_ledger ledger(host_id("a"), incarnation(1), {});
    ledger.on_records(log_offset(0), log_offset(0), log_offset(1),
                      {std::string(bytes)}, 0, absl::UnixEpoch());
    (void)ledger.next_action(false, absl::UnixEpoch());
}

constexpr std::array readers{
    &read_a_page,   &read_a_record,  &read_a_list,    &read_a_configuration,
    &read_an_entry, &read_a_rollout, &read_an_append, &read_a_duty};

} // namespace
} // namespace daleshelf::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size)
{
    using namespace daleshelf::fuzz;
    fuzz_input input(bytes, size);
    const auto reader = readers[input.take_choice(readers.size())]; // NOLINT
    try
    {
        reader(input.rest());
    }
    catch (const daleshelf::json_error&)
    {
        // Refused, as it may be.
    }
    return 0;
}
