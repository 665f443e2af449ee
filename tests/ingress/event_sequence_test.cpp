#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ingress/event_sequence.hpp>
#include <ingress/event_splitter.hpp>
#include <string>
#include <vector>

namespace daleshelf
{
namespace
{

std::string numbered(std::int64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// Events of one response, checked up to the first invalid one.
class checked_response
{
public:
    checked_response(event_sequence& sequence, const std::string& bytes)
    {
        sequence.begin_response();
        event_splitter splitter;
        splitter.add(bytes);
        while (auto event = splitter.next())
        {
            const auto verdict = sequence.check(*event);
            if (verdict == event_verdict::invalid)
            {
                m_is_valid = false;
                return;
            }
            if (verdict == event_verdict::forwarded)
            {
                m_forwarded += event->bytes;
            }
        }
    }

    [[nodiscard]] bool is_valid() const
    {
        return m_is_valid;
    }

    [[nodiscard]] const std::string& forwarded() const
    {
        return m_forwarded;
    }

private:
    std::string m_forwarded;
    bool m_is_valid = true;
};

// Guards against a stream that ends as complete without the event of an id that
// was spoiled, or with an event twice.
TEST(event_sequence, an_id_that_does_not_follow_is_invalid)
{
    const std::string begun = numbered(1) + numbered(2);
    for (const std::string event :
         {"id: 4\ndata: x\n\n", "id: 2\ndata: x\n\n", "id: 1\ndata: x\n\n",
          "id: 0\ndata: x\n\n", "id: -3\ndata: x\n\n", "id:\ndata: x\n\n",
          "id\ndata: x\n\n", "id: x\ndata: x\n\n", "id: 3x\ndata: x\n\n",
          "id: 99999999999999999999\ndata: x\n\n", "data: x\n\n",
          "id: 3\nid: 3\ndata: x\n\n", "id: 3\nid: 4\ndata: x\n\n",
          "i: 3\ndata: x\n\n"})
    {
        event_sequence sequence(0, event_numbering::required);
        const checked_response response(sequence, begun + event + numbered(3));
        EXPECT_FALSE(response.is_valid()) << event;
        EXPECT_EQ(response.forwarded(), begun) << event;
        EXPECT_EQ(sequence.last_forwarded(), 2);
    }
}

// Guards against a first event whose id lets sound events count as repeated.
TEST(event_sequence, the_first_id_of_a_response_is_no_later_than_the_next)
{
    for (const std::int64_t first : {-1, 0, 2, 12})
    {
        event_sequence sequence(0, event_numbering::required);
        EXPECT_FALSE(checked_response(sequence, numbered(first)).is_valid())
            << first;
        EXPECT_FALSE(sequence.last_forwarded());
    }
}

TEST(event_sequence, another_response_may_repeat_events_in_order)
{
    event_sequence sequence(0, event_numbering::required);
    EXPECT_TRUE(
        checked_response(sequence, numbered(1) + numbered(2)).is_valid());
    EXPECT_EQ(
        checked_response(sequence, numbered(1) + numbered(2) + numbered(3))
            .forwarded(),
        numbered(3));
    EXPECT_FALSE(
        checked_response(sequence, numbered(2) + numbered(4)).is_valid());
    EXPECT_TRUE(checked_response(sequence, numbered(4)).is_valid());
    EXPECT_EQ(sequence.last_forwarded(), 4);
}

TEST(event_sequence, a_resumed_stream_begins_after_the_event_of_its_client)
{
    event_sequence sequence(7, event_numbering::required);
    EXPECT_FALSE(checked_response(sequence, numbered(9)).is_valid());
    EXPECT_EQ(checked_response(sequence, numbered(7) + numbered(8)).forwarded(),
              numbered(8));
}

TEST(event_sequence, comments_are_no_events)
{
    event_sequence sequence(0, event_numbering::required);
    const auto bytes = numbered(1) + ": ping\n\n" + numbered(2);
    const checked_response response(sequence, bytes);
    EXPECT_TRUE(response.is_valid());
    EXPECT_EQ(response.forwarded(), bytes);
}

TEST(event_sequence, optional_numbers_are_all_there_or_none)
{
    const std::string plain = "data: x\n\n";
    for (const std::string& bytes :
         {plain + plain, "id: a\ndata: x\n\n" + plain,
          numbered(100) + numbered(101)})
    {
        event_sequence sequence(0, event_numbering::optional);
        EXPECT_TRUE(checked_response(sequence, bytes).is_valid()) << bytes;
    }
    for (const std::string& bytes :
         {plain + numbered(2), numbered(1) + plain, numbered(12) + numbered(2),
          numbered(1) + numbered(1)})
    {
        event_sequence sequence(0, event_numbering::optional);
        EXPECT_FALSE(checked_response(sequence, bytes).is_valid()) << bytes;
    }
}

TEST(event_sequence, optional_numbers_are_continued_by_another_response)
{
    event_sequence sequence(0, event_numbering::optional);
    EXPECT_TRUE(
        checked_response(sequence, numbered(5) + numbered(6)).is_valid());
    EXPECT_FALSE(checked_response(sequence, numbered(8)).is_valid());
    EXPECT_EQ(checked_response(sequence, numbered(6) + numbered(7)).forwarded(),
              numbered(7));
}

// For any responses, the client gets 1, 2, 3 and so on.
RC_GTEST_PROP(event_sequence, forwards_each_number_once_and_in_order, ())
{
    const auto last_received = *rc::gen::inRange<std::int64_t>(0, 4);
    const auto responses = *rc::gen::container<std::vector<std::vector<int>>>(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(-1, 9)));
    event_sequence sequence(last_received, event_numbering::required);
    auto expected = last_received;
    for (const auto& ids : responses)
    {
        std::string bytes;
        for (const auto id : ids)
        {
            bytes += numbered(id);
        }
        const checked_response response(sequence, bytes);
        event_splitter splitter;
        splitter.add(response.forwarded());
        while (auto event = splitter.next())
        {
            RC_ASSERT(event->id == ++expected);
        }
    }
    RC_ASSERT(sequence.last_forwarded().value_or(last_received) == expected);
}

} // namespace
} // namespace daleshelf
