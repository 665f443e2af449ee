// What each switch of the policy turns off on the request path is off.
#include "gateway_fixture.hpp"

namespace daleshelf
{
namespace
{

using policy = gateway_fixture;

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

scripted_server::script answering_once(const std::string& bytes)
{
    return [=](test_connection& connection)
    {
        connection.read_message();
        connection.send(bytes);
        connection.close();
    };
}

/// Answers every request on a connection with a stream of three events.
scripted_server::script streaming()
{
    return [](test_connection& connection)
    {
        while (!connection.read_message().empty())
        {
            connection.send(stream_head("1") + event_chunk(1, "a") +
                            event_chunk(2, "b") + event_chunk(3, "c") +
                            last_chunk);
        }
    };
}

// A hundred answers are before it: with one place and 2 s an answer its first
// event would come long after the five seconds that it has.
TEST_F(policy, a_prompt_that_would_be_too_late_is_refused_at_once)
{
    configure();
    make_engines();
    const scripted_server server(answering_once(make_response("1", "body")));
    add_server("a", server);
    on_loop(
        [&]
        {
            m_state.choice.set_peer_load(
                host_id("peer"), {{upstream_id("a"), server_load{100, 0}}});
        });
    const auto answer = fetch("/stream/x");
    EXPECT_TRUE(has(answer, "HTTP/1.1 503 ")) << answer;
    EXPECT_TRUE(has(answer, "Retry-After: ")) << answer;
    EXPECT_EQ(server.connections(), 0);
    // Switched off, it is tried.
    on_loop([&] { m_state.settings.refuses_hopeless = false; });
    EXPECT_TRUE(fetch("/stream/x").ends_with("body"));
}

TEST_F(policy, without_retries_a_safe_request_is_tried_once)
{
    configure();
    on_loop([&] { m_state.settings.retries_failures = false; });
    const scripted_server one(answering_once(""));
    const scripted_server two(answering_once(""));
    add_server("a", one);
    add_server("b", two);
    EXPECT_TRUE(has(fetch("/safe/x"), "HTTP/1.1 502 "));
    EXPECT_EQ(one.requests() + two.requests(), 1);
}

TEST_F(policy, without_resuming_a_broken_stream_ends)
{
    configure();
    on_loop([&] { m_state.settings.resumes_streams = false; });
    const auto begun = stream_head("1") + event_chunk(1, "a");
    const scripted_server one(answering_once(begun));
    const scripted_server two(answering_once(begun));
    add_server("a", one);
    add_server("b", two);
    const auto client = connect();
    client->send(request_for("/stream/x"));
    EXPECT_FALSE(client->read_all().ends_with(last_chunk));
    EXPECT_EQ(one.requests() + two.requests(), 1);
}

TEST_F(policy, learns_of_engines_from_whole_streams_only_if_it_may)
{
    configure();
    make_engines();
    const scripted_server server(streaming());
    add_server("a", server);
    for (const bool learns : {false, true})
    {
        on_loop([&] { m_state.settings.learns_engines = learns; });
        const auto client = connect();
        client->send(request_for("/stream/x"));
        std::string answer;
        while (!answer.ends_with(last_chunk))
        {
            const auto more = client->read_message();
            ASSERT_FALSE(more.empty()) << answer;
            answer += more;
        }
        on_loop(
            [&]
            {
                const auto learned =
                    m_state.engines.of(service_name("service")).own();
                EXPECT_EQ(learned.prompts, learns ? 1 : 0);
                EXPECT_EQ(learned.generations, learns ? 1 : 0);
            });
    }
}

TEST_F(policy, a_refusal_for_quota_says_to_come_back_as_soon_as_is_set)
{
    configure();
    limit_tenant({1000, 1000});
    const scripted_server server(answering_once(make_response("1", "ok")));
    add_server("a", server);
    on_loop([&] { m_state.settings.quota_retry_ms = 1250; });
    const auto answer = fetch("/own/x");
    EXPECT_TRUE(has(answer, "HTTP/1.1 429 ")) << answer;
    EXPECT_TRUE(has(answer, "Retry-After: 1.25")) << answer;
}

} // namespace
} // namespace daleshelf
