#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <http/event_stream.hpp>

namespace daleshelf
{
namespace
{

RC_GTEST_PROP(event_stream, gives_the_same_events_however_the_bytes_are_cut, ())
{
    const auto texts = *rc::gen::container<std::vector<std::string>>(
        rc::gen::string<std::string>());
    std::string stream;
    std::vector<std::string> sent;
    for (auto text : texts)
    {
        std::erase_if(text, [](char letter)
                      { return letter == '\n' || letter == '\r'; });
        sent.push_back(text);
        stream += to_event_stream({"", std::to_string(sent.size()), text});
    }
    event_stream_parser parser;
    std::vector<std::string> received;
    std::size_t start = 0;
    while (start < stream.size())
    {
        const auto length = *rc::gen::inRange<std::size_t>(1, 20);
        for (const auto& event : parser.feed(stream.substr(start, length)))
        {
            received.push_back(event.data);
        }
        start += length;
    }
    RC_ASSERT(received == sent);
}

TEST(event_stream, drops_an_event_that_was_cut_off)
{
    event_stream_parser parser;
    EXPECT_TRUE(parser.feed("id: 3\ndata: half").empty());
}

} // namespace
} // namespace daleshelf
