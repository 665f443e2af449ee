/// @file
/// Everything that hosts send each other: a datagram is read or it is nothing,
/// and what was read says the same once it has been written again.

#include "fuzz_input.hpp"

#include <array>
#include <peers/machine_state.hpp>
#include <peers/topic_records.hpp>
#include <peers/window_counts.hpp>
#include <quotas/quota_message.hpp>
#include <rollouts/rollout_message.hpp>

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

constexpr std::array readers{
    &read_again<decode_machine_state>, &read_again<decode_shared_records>,
    &read_again<decode_window_counts>, &read_again<decode_quota_message>,
    &read_again<decode_rollout_word>,  &read_again<decode_rollout_report>};

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
