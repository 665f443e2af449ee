#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

#include <base/json.hpp>
#include <csignal>
#include <tests/support/fleet.hpp>
#include <tests/support/waiting.hpp>

namespace daleshelf
{
namespace
{

using test::fleet;

constexpr auto completion =
    R"({"model":"captions","prompt":"a title","max_tokens":5})";

/// One entry host before one engine and one plain service.
class caller_session : public testing::Test
{
protected:
    caller_session()
    {
        m_fleet.start_platform();
        const auto engine = m_fleet.start_engine("engine", {"--model", "m"});
        const auto service = m_fleet.start_service("index");
        m_fleet.start_host({"entry-a", "a"});
        m_fleet.apply("entry-a",
                      {test::make_workspace("studio", "key"),
                       test::make_workspace("other", "other-key"),
                       test::make_resource(
                           "deployment", "captions",
                           {{"model", "m"},
                            {"workspaces", boost::json::array{"studio"}}}),
                       test::make_resource("service", "index", {}),
                       test::make_engine("engine", "a", engine, "m"),
                       test::make_resource("upstream", "index",
                                           {{"type", "service"},
                                            {"url", service},
                                            {"hall", "a"},
                                            {"service", "index"}})});
    }

    http_response call(const std::string& path, const std::string& body,
                       const std::string& key = "key",
                       const std::string& method = "POST")
    {
        return m_fleet.send(method, m_fleet.host("entry-a").callers_url + path,
                            body, {{"Authorization", "Bearer " + key}});
    }

    fleet m_fleet;
};

std::string error_field(const http_response& response, const std::string& key)
{
    const auto body = parse_object(response.body);
    return require_string(body.at("error").as_object(), key);
}

TEST_F(caller_session, answers_a_completion_whole)
{
    const auto response = call("/v1/completions", completion);
    ASSERT_EQ(200, response.status) << response.body;
    const auto body = parse_object(response.body);
    const auto usage = body.at("usage").as_object();
    EXPECT_EQ(5, usage.at("completion_tokens").as_int64());
}

TEST_F(caller_session, gives_the_same_answer_again_by_id)
{
    const auto first = call("/v1/completions", completion);
    const auto id = require_string(parse_object(first.body), "id");
    const auto again = call("/v1/requests/" + id, "", "key", "GET");
    EXPECT_EQ(first.body, again.body);
}

TEST_F(caller_session, shows_another_workspace_nothing)
{
    const auto first = call("/v1/completions", completion);
    const auto id = require_string(parse_object(first.body), "id");
    EXPECT_EQ(404, call("/v1/requests/" + id, "", "other-key", "GET").status);
    EXPECT_EQ(404, call("/v1/completions", completion, "other-key").status);
    EXPECT_EQ(401, call("/v1/completions", completion, "wrong").status);
}

TEST_F(caller_session, refuses_bad_input_with_a_clear_error)
{
    const auto malformed = call("/v1/completions", "{");
    EXPECT_EQ(400, malformed.status);
    EXPECT_EQ("not_run", error_field(malformed, "verdict"));
    const auto unknown =
        call("/v1/completions", R"({"model":"x","prompt":"p"})");
    EXPECT_EQ(404, unknown.status);
    const auto large =
        call("/v1/completions", std::string(std::size_t{5} << 20U, 'x'));
    EXPECT_EQ(413, large.status);
    EXPECT_EQ("body_too_large", error_field(large, "code"));
}

TEST_F(caller_session, refuses_at_once_when_the_upstream_is_gone)
{
    m_fleet.standin("engine").process.reset();
    const auto response = call("/v1/completions", completion);
    EXPECT_EQ(503, response.status);
    EXPECT_EQ("not_run", error_field(response, "verdict"));
}

TEST_F(caller_session, calls_a_plain_service)
{
    const auto read = call("/services/index/p/1", "", "key", "GET");
    EXPECT_EQ(200, read.status);
    const auto written = call("/services/index/publish", "{}");
    EXPECT_EQ(200, written.status);
}

TEST_F(caller_session, does_not_repeat_a_write_whose_answer_was_lost)
{
    m_fleet.set_fault("index", {{"lose_answers", 1}});
    const auto response = call("/services/index/publish", "{}");
    EXPECT_EQ(504, response.status);
    const auto received =
        m_fleet.send("GET", m_fleet.standin("index").url + "/standin/received");
    const auto body = parse_object(received.body);
    EXPECT_EQ(1U, find_array(body, "received")->size());
}

TEST_F(caller_session, ends_a_request_in_flight_before_a_planned_stop)
{
    constexpr auto long_completion =
        R"({"model":"captions","prompt":"a title","max_tokens":200})";
    http_response response;
    absl::Notification done;
    http_client_request request;
    request.method = "POST";
    request.url = m_fleet.host("entry-a").callers_url + "/v1/completions";
    request.body = long_completion;
    request.headers = {{"Authorization", "Bearer key"}};
    http_transfer_handlers handlers;
    handlers.on_body = [&response](std::string_view piece)
    { response.body += piece; };
    handlers.on_done = [&response, &done](const http_transfer_result& result)
    {
        response.status = result.is_complete() ? result.status : 0;
        done.Notify();
    };
    m_fleet.client().start(std::move(request), std::move(handlers));
    test::wait_until(
        [this]
        {
            const auto received = m_fleet.send(
                "GET", m_fleet.standin("engine").url + "/standin/received");
            const auto body = parse_object(received.body);
            return !find_array(body, "received")->empty();
        },
        "the engine runs the request");
    auto& host = *m_fleet.host("entry-a").process;
    host.send(SIGTERM);
    done.WaitForNotification();
    EXPECT_EQ(200, response.status);
    EXPECT_EQ(0, host.wait());
}

} // namespace
} // namespace daleshelf
