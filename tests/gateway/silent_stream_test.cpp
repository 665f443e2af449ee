// Guards against aborting a stream whose upstream is only silent, as an engine
// is while it has preempted the request: the gateway closed the connection
// before it knew whether a retry and another upstream were available.
#include "gateway_fixture.hpp"

namespace daleshelf
{
namespace
{

// Longer than the silence after which a stream is resumed elsewhere.
constexpr milliseconds silence{3000};

class silent_stream : public gateway_fixture
{
protected:
    silent_stream()
    {
        configure();
    }

    /// Sends the rest of a stream after a silence.
    static void pause(test_connection& connection)
    {
        const auto id = id_of(connection.read_message());
        connection.send(stream_head(id) + event_chunk(1, "one"));
        std::this_thread::sleep_for(silence);
        connection.send(event_chunk(2, "two") + last_chunk);
    }

    /// Sends one event, and is silent until its client leaves.
    static void stay_silent(test_connection& connection)
    {
        const auto id = id_of(connection.read_message());
        connection.send(stream_head(id) + event_chunk(1, "one"));
        connection.read_message();
    }

    /// Continues a stream after its first event.
    static void resume(test_connection& connection)
    {
        const auto id = id_of(connection.read_message());
        connection.send(stream_head(id) + event_chunk(2, "two") + last_chunk);
    }

    std::unique_ptr<test_connection>
    begin_stream(const std::string& path = "/stream/x")
    {
        auto client = connect();
        client->send(request_for(path));
        client->read_until("data: one\n\n");
        return client;
    }

    static void expect_rest(test_connection& client)
    {
        const auto rest = client.read_until(last_chunk);
        EXPECT_NE(rest.find("data: two\n\n"), std::string::npos) << rest;
        EXPECT_TRUE(rest.ends_with(last_chunk)) << rest;
    }

    const scripted_server m_other{resume};
};

TEST_F(silent_stream, is_kept_while_no_retry_is_left)
{
    const scripted_server engine(pause);
    add_server("a", engine);
    const auto client = begin_stream();
    add_server("b", m_other);
    drain_retry_budget();
    expect_rest(*client);
    EXPECT_EQ(m_other.requests(), 0);
}

TEST_F(silent_stream, is_kept_while_no_other_upstream_is_left)
{
    const scripted_server engine(pause);
    add_server("a", engine);
    refill_retry_budget();
    const auto client = begin_stream();
    expect_rest(*client);
    EXPECT_TRUE(take_retry()) << "a retry that was not made is put back";
}

TEST_F(silent_stream, is_kept_on_a_route_without_resumption)
{
    const scripted_server engine(pause);
    add_server("a", engine);
    const auto client = begin_stream("/fixed/x");
    add_server("b", m_other);
    refill_retry_budget();
    expect_rest(*client);
    EXPECT_EQ(m_other.requests(), 0);
}

TEST_F(silent_stream, is_resumed_at_another_upstream)
{
    const scripted_server engine(stay_silent);
    add_server("a", engine);
    const auto client = begin_stream();
    add_server("b", m_other);
    refill_retry_budget();
    expect_rest(*client);
    EXPECT_EQ(m_other.requests(), 1);
}

TEST_F(silent_stream, is_resumed_once_a_retry_is_left)
{
    const scripted_server engine(stay_silent);
    add_server("a", engine);
    const auto client = begin_stream();
    add_server("b", m_other);
    drain_retry_budget();
    std::this_thread::sleep_for(silence);
    EXPECT_EQ(m_other.requests(), 0);
    refill_retry_budget();
    expect_rest(*client);
    EXPECT_EQ(m_other.requests(), 1);
}

} // namespace
} // namespace daleshelf
