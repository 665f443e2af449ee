// Guards against clients that get a response in whose head a field name has a
// blank or a control character, with that line passed on, joined to another
// field or dropped.
#include "gateway_fixture.hpp"

#include <base/text.hpp>

namespace daleshelf
{
namespace
{

/// A line of a head that is no field.
struct malformed_line
{
    std::string name;
    std::string line;
};

// GoogleTest finds it by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const malformed_line& tested, std::ostream* out)
{
    *out << tested.name;
}

std::string name_of_case(const testing::TestParamInfo<malformed_line>& tested)
{
    return tested.param.name;
}

class malformed_field : public gateway_fixture,
                        public testing::WithParamInterface<malformed_line>
{
protected:
    malformed_field()
    {
        configure();
    }

    static std::string spoiled_head(const std::string& id,
                                    const std::string& more)
    {
        return concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id,
                      "\r\nX-Server-Seal: seal\r\n", GetParam().line, "\r\n",
                      more, "\r\n");
    }

    static std::string spoiled_response(const std::string& id)
    {
        return spoiled_head(id, "Content-Length: 4\r\n") + "junk";
    }

    void expect_502(const std::string& path, const std::string& id = "1")
    {
        const auto response = fetch(path, id);
        EXPECT_TRUE(response.starts_with("HTTP/1.1 502 ")) << response;
    }
};

TEST_P(malformed_field, of_a_response_is_a_502)
{
    const scripted_server server(
        [](test_connection& connection)
        {
            const auto id = id_of(connection.read_message());
            connection.send(spoiled_response(id));
        });
    add_server("a", server);
    expect_502("/unsafe/x");
}

TEST_P(malformed_field, of_an_informational_response_is_a_502)
{
    const scripted_server server(
        [](test_connection& connection)
        {
            const auto id = id_of(connection.read_message());
            connection.send(concat("HTTP/1.1 103 Early Hints\r\nX-A: b\r\n",
                                   GetParam().line, "\r\n\r\n",
                                   make_response(id, "good")));
        });
    add_server("a", server);
    expect_502("/unsafe/x");
}

TEST_P(malformed_field, on_a_reused_connection_is_a_502)
{
    const scripted_server server(
        [](test_connection& connection)
        {
            auto id = id_of(connection.read_message());
            connection.send(make_response(id, "good"));
            id = id_of(connection.read_message());
            connection.send(spoiled_response(id));
        });
    add_server("a", server);
    EXPECT_TRUE(fetch("/unsafe/x", "1").ends_with("good"));
    expect_502("/unsafe/x", "2");
}

TEST_P(malformed_field, of_a_response_to_another_request_is_a_502)
{
    const scripted_server server(
        [](test_connection& connection)
        {
            const auto id = id_of(connection.read_message());
            connection.send(spoiled_response("other") +
                            make_response(id, "good"));
        });
    add_server("a", server);
    expect_502("/unsafe/x");
}

TEST_P(malformed_field, of_a_stream_is_a_502)
{
    const scripted_server server(
        [](test_connection& connection)
        {
            const auto id = id_of(connection.read_message());
            connection.send(spoiled_head(id, "Content-Type: text/event-stream"
                                             "\r\nTransfer-Encoding: chunked"
                                             "\r\n") +
                            event_chunk(1, "x") + last_chunk);
        });
    add_server("a", server);
    expect_502("/fixed/x");
}

INSTANTIATE_TEST_SUITE_P(
    lines, malformed_field,
    testing::Values(malformed_line{"blank_within", "X A: b"},
                    malformed_line{"blank_at_end", "X-A : b"},
                    malformed_line{"blank_at_start", " X-A: b"},
                    malformed_line{"tab_at_start", "\tX-A: b"},
                    malformed_line{"control_within", "X\x01-A: b"},
                    malformed_line{"nul_within", std::string("X\0A: b", 6)},
                    malformed_line{"delete_within", "X\x7f-A: b"},
                    malformed_line{"high_byte_within", "X\xe4-A: b"},
                    malformed_line{"empty", ": b"},
                    malformed_line{"without_colon", "X-A b"},
                    malformed_line{"control_in_value", "X-A: b\x01"},
                    malformed_line{"return_in_value", "X-A: b\rc"}),
    name_of_case);

} // namespace
} // namespace daleshelf
