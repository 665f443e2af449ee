#include "trace_context.hpp"

#include <absl/random/random.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cctype>
#include <cstdint>

namespace daleshelf
{

namespace
{

// Offsets in "00-<trace id>-<span id>-<flags>", Trace Context section 3.2.
constexpr std::size_t header_length = 55;
constexpr std::size_t trace_id_start = 3;
constexpr std::size_t trace_id_length = 32;
constexpr std::size_t span_id_start = 36;
constexpr std::size_t span_id_length = 16;

std::string random_id(std::size_t digits)
{
    constexpr std::size_t digits_per_word = 16;
    thread_local absl::BitGen generator;
    std::string id;
    while (id.size() < digits)
    {
        // An ID of all zeros is invalid, so the range starts at 1.
        const auto word = absl::Uniform<std::uint64_t>(
            absl::IntervalClosed, generator, 1, UINT64_MAX);
        id += absl::StrFormat("%0*x", digits_per_word, word);
    }
    return id;
}

bool is_hexadecimal(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char character)
                       { return std::isxdigit(character) != 0; });
}

} // namespace

trace_context trace_context::create()
{
    return {random_id(trace_id_length), random_id(span_id_length)};
}

trace_context trace_context::from_header(std::string_view header)
{
    if (header.size() < header_length || header[2] != '-')
    {
        return create();
    }
    const auto trace = header.substr(trace_id_start, trace_id_length);
    const auto span = header.substr(span_id_start, span_id_length);
    if (!is_hexadecimal(trace) || !is_hexadecimal(span))
    {
        return create();
    }
    return {std::string(trace), std::string(span)};
}

trace_context trace_context::child() const
{
    return {trace_id, random_id(span_id_length)};
}

std::string trace_context::to_header() const
{
    return "00-" + trace_id + "-" + span_id + "-01";
}

} // namespace daleshelf
