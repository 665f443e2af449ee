/// @file
/// Everything that callers and servers send: a message is read alike however
/// its bytes are cut, or refused with `parse_error`.

#include "fuzz_input.hpp"

#include <ingress/event_splitter.hpp>
#include <platform/request_format.hpp>
#include <vector>
#include <wire/message_parser.hpp>

namespace daleshelf::fuzz
{
namespace
{

constexpr std::uint32_t head_bytes = 16384;
constexpr std::uint64_t body_bytes = 4194304;

/// What became of a message.
struct reading
{
    bool is_refused = false;
    bool is_complete = false;
    std::size_t taken = 0;
    std::string body;

    friend bool operator==(const reading&, const reading&) = default;
};

/// Feeds the bytes in two parts, keeping what was not taken of the first.
template <typename Parser>
reading read(Parser& parser, std::string_view bytes, std::size_t cut)
{
    reading result;
    try
    {
        for (const auto end : {cut, bytes.size()})
        {
            const auto part = bytes.substr(result.taken, end - result.taken);
            if (parser.is_complete() || part.empty())
            {
                continue;
            }
            result.taken += parser.feed(part);
            result.body += parser.take_body();
        }
        result.is_complete = parser.is_complete();
    }
    catch (const parse_error&)
    {
        result = {};
        result.is_refused = true;
    }
    return result;
}

void read_request(std::string_view bytes, std::size_t cut)
{
    request_parser whole(head_bytes, body_bytes);
    request_parser parted(head_bytes, body_bytes);
    const auto one = read(whole, bytes, bytes.size());
    const auto two = read(parted, bytes, cut);
    require(one.is_refused || two.is_refused || !one.is_complete ||
                one.body == two.body,
            "a request's body is the same however it is cut");
    if (!one.is_refused && whole.has_head())
    {
        const auto head = whole.take_head();
        (void)request_parser::is_ambiguous(head);
        (void)platform::has_valid_id(head.fields);
        (void)platform::read_facts(head.fields);
    }
}

void read_answer(std::string_view bytes, std::size_t cut)
{
    response_parser whole(head_bytes);
    response_parser parted(head_bytes);
    const auto one = read(whole, bytes, bytes.size());
    const auto two = read(parted, bytes, cut);
    require(one.is_refused || two.is_refused || !one.is_complete ||
                one.body == two.body,
            "an answer's body is the same however it is cut");
    if (!one.is_refused && whole.has_head())
    {
        const auto head = whole.take_head();
        (void)platform::states_not_run(head);
        (void)platform::find_request_id(head.fields);
        (void)platform::is_signed(head.fields);
        (void)platform::is_encoded(head.fields);
        (void)platform::weights_version(head.fields);
        (void)platform::idle_time(head.fields);
    }
}

std::vector<std::string> events_of(event_splitter& splitter)
{
    std::vector<std::string> events;
    while (const auto event = splitter.next())
    {
        events.push_back(event->bytes);
    }
    return events;
}

void read_events(std::string_view bytes, std::size_t cut)
{
    event_splitter whole;
    whole.add(bytes);
    const auto one = events_of(whole);
    event_splitter parted;
    parted.add(bytes.substr(0, cut));
    auto two = events_of(parted);
    parted.add(bytes.substr(cut));
    for (auto& event : events_of(parted))
    {
        two.push_back(std::move(event));
    }
    require(one == two, "events are the same however a stream is cut");
}

constexpr std::array readers{&read_request, &read_answer, &read_events};

} // namespace
} // namespace daleshelf::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size)
{
    using namespace daleshelf::fuzz;
    fuzz_input input(bytes, size);
    const auto reader = readers[input.take_choice(readers.size())]; // NOLINT
    const auto cut = input.take_choice(256);
    reader(input.rest(), std::min(cut, input.rest().size()));
    return 0;
}
