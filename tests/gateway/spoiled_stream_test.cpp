// Guards against streams that end as complete with an event missing or twice,
// because their upstream has spoiled the id of an event.
#include "gateway_fixture.hpp"

#include <base/text.hpp>
#include <mutex>

namespace daleshelf
{
namespace
{

constexpr int event_count = 12;

std::string data_of(int number)
{
    return concat("data: <", number, ">\n");
}

std::string chunk(const std::string& bytes)
{
    return concat(to_hexadecimal(bytes.size()), "\r\n", bytes, "\r\n");
}

/// One event of the first response, sent with another id.
struct spoiled_event
{
    std::string name;
    int number = 0;
    std::string id_line; ///< in place of its own
};

// GoogleTest finds it by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const spoiled_event& tested, std::ostream* out)
{
    *out << tested.name;
}

std::string name_of_case(const testing::TestParamInfo<spoiled_event>& tested)
{
    return tested.param.name;
}

class spoiled_stream : public gateway_fixture,
                       public testing::WithParamInterface<spoiled_event>
{
protected:
    spoiled_stream()
        : m_one([this](test_connection& connection) { serve(connection); })
        , m_other([this](test_connection& connection) { serve(connection); })
    {
        configure();
        add_server("a", m_one);
        add_server("b", m_other);
    }

    ~spoiled_stream() override
    {
        stop();
    }

    std::string fetch_stream(const std::string& path)
    {
        const auto client = connect();
        client->send(request_for(path));
        return client->read_until(last_chunk);
    }

    [[nodiscard]] int requests() const
    {
        return m_one.requests() + m_other.requests();
    }

private:
    void serve(test_connection& connection)
    {
        const auto request = connection.read_message();
        if (request.empty())
        {
            return; // a probe of the port
        }
        const bool is_first = !m_has_begun.exchange(true);
        auto response = stream_head(id_of(request));
        for (int number = first_event(request); number <= event_count; ++number)
        {
            const bool is_spoiled = is_first && number == GetParam().number;
            const auto id_line =
                is_spoiled ? GetParam().id_line : concat("id: ", number, "\n");
            response += chunk(concat(id_line, data_of(number), "\n"));
        }
        connection.send(response + last_chunk);
    }

    static int first_event(const std::string& request)
    {
        constexpr std::string_view name = "Last-Event-Id: ";
        const auto at = request.find(name);
        return at == std::string::npos
                   ? 1
                   : std::stoi(request.substr(at + name.size())) + 1;
    }

    std::atomic<bool> m_has_begun = false;
    scripted_server m_one;
    scripted_server m_other;
};

int times_in(const std::string& response, int number)
{
    int times = 0;
    const auto data = data_of(number);
    for (auto at = response.find(data); at != std::string::npos;
         at = response.find(data, at + data.size()))
    {
        ++times;
    }
    return times;
}

TEST_P(spoiled_stream, is_continued_by_another_upstream)
{
    const auto response = fetch_stream("/stream/x");
    EXPECT_TRUE(response.ends_with(last_chunk)) << response;
    for (int number = 1; number <= event_count; ++number)
    {
        EXPECT_EQ(times_in(response, number), 1) << number << response;
    }
    EXPECT_EQ(requests(), 2);
}

TEST_P(spoiled_stream, that_cannot_be_resumed_is_broken_off)
{
    const auto response = fetch_stream("/fixed/x");
    EXPECT_FALSE(response.ends_with(last_chunk)) << response;
    EXPECT_EQ(requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    events, spoiled_stream,
    testing::Values(
        spoiled_event{"last_id_lost_a_digit", event_count, "id: 1\n"},
        spoiled_event{"last_without_id", event_count, ""},
        spoiled_event{"last_id_too_high", event_count, "id: 13\n"},
        spoiled_event{"middle_without_id", 6, ""},
        spoiled_event{"middle_with_an_empty_id", 6, "id:\n"},
        spoiled_event{"middle_id_is_no_number", 6, "id: x\n"},
        spoiled_event{"middle_id_out_of_range", 6,
                      "id: 99999999999999999999\n"},
        spoiled_event{"middle_id_of_the_event_before", 6, "id: 5\n"},
        spoiled_event{"middle_with_two_ids", 6, "id: 6\nid: 7\n"},
        spoiled_event{"first_id_too_high", 1, "id: 12\n"},
        spoiled_event{"first_id_is_that_of_the_second", 1, "id: 2\n"},
        spoiled_event{"first_without_id", 1, ""}),
    name_of_case);

} // namespace
} // namespace daleshelf
