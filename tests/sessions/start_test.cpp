#include <gtest/gtest.h>

#include <base/json.hpp>
#include <fstream>
#include <iterator>
#include <tests/support/child_process.hpp>
#include <tests/support/fleet.hpp>
#include <tests/support/temporary_folder.hpp>
#include <tests/support/waiting.hpp>

namespace daleshelf
{
namespace
{

using test::fleet;

TEST(start, says_which_port_is_taken)
{
    fleet processes;
    processes.start_platform();
    auto& first = processes.start_host({"entry-a", "a"});
    std::ifstream input(first.settings_file);
    const std::string settings{std::istreambuf_iterator<char>(input), {}};
    const test::temporary_folder folder;
    const auto result = test::run_program(
        "daleshelfd", {"--settings", folder.write("same.toml", settings)});
    EXPECT_EQ(1, result.exit_code);
    EXPECT_NE(std::string::npos, result.errors.find("cannot listen"))
        << result.errors;
}

TEST(start, serves_what_it_can_while_the_platform_is_out_of_reach)
{
    fleet processes;
    processes.start_platform();
    processes.standin("platform").process.reset();
    auto& host = processes.start_host({"entry-a", "a"});
    EXPECT_EQ(200, processes.send("GET", host.callers_url + "/healthz").status);
    EXPECT_EQ(503, processes.send("GET", host.callers_url + "/readyz").status);
    EXPECT_EQ(200, processes.send("GET", host.callers_url + "/metrics").status);
    const auto status = parse_object(
        processes.operate("entry-a", "GET", "/apis/v1/status").body);
    EXPECT_FALSE(status.at("ready").as_bool());
    EXPECT_FALSE(status.at("log_reachable").as_bool());
}

TEST(tool, prints_json_for_a_drain_too)
{
    fleet processes;
    processes.start_platform();
    auto& host = processes.start_host({"entry-a", "a"});
    const auto result = test::run_program(
        "daleshelf", {"drain", "-o", "json", "--url", host.operators_url,
                      "--token", std::string(fleet::operator_token)});
    EXPECT_EQ("{\"draining\":true}\n", result.output);
    EXPECT_EQ(0, host.process->wait());
}

TEST(traces, have_a_span_for_each_hop_of_a_call)
{
    fleet processes;
    processes.start_platform();
    const auto engine = processes.start_engine("engine", {"--model", "m"});
    processes.start_halls(
        {"a", "b"},
        {"traces.endpoint = \"" + processes.platform_url() + "/v1/traces\""});
    processes.apply("entry-a", {test::make_workspace("studio", "key"),
                                test::make_resource("deployment", "captions",
                                                    {{"model", "m"}}),
                                test::make_engine("engine", "a", engine, "m")});
    const std::string trace = "0af7651916cd43dd8448eb211c80319c";
    const auto response = processes.send(
        "POST", processes.host("entry-a").callers_url + "/v1/completions",
        R"({"model":"captions","prompt":"p","max_tokens":2})",
        {{"Authorization", "Bearer key"},
         {"traceparent", "00-" + trace + "-b7ad6b7169203331-01"}});
    ASSERT_EQ(200, response.status);
    std::string spans;
    test::wait_until(
        [&]
        {
            spans =
                processes.send("GET", processes.platform_url() + "/v1/traces")
                    .body;
            return spans.find("/v1/completions") != std::string::npos &&
                   spans.find(R"("name":"upstream")") != std::string::npos &&
                   spans.find(R"("name":"peer")") != std::string::npos;
        },
        "the spans of all three hops are at the collector");
    EXPECT_NE(std::string::npos, spans.find(trace));
    EXPECT_NE(std::string::npos,
              spans.find(R"("parentSpanId":"b7ad6b7169203331")"));
}

} // namespace
} // namespace daleshelf
