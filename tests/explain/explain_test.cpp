#include <gtest/gtest.h>

#include <sstream>
#include <utilities/daleshelf/explain.hpp>

namespace daleshelf
{
namespace
{

std::vector<logged_event> read(const std::string& text)
{
    std::istringstream in(text);
    std::vector<logged_event> log;
    read_log(in, "file", log);
    return log;
}

constexpr const char* example =
    R"(noise
 1.0 edge-1 {"time":"01","name":"servers_changed","server":"a","state":"ready"}
 2.0 edge-2 {"time":"09","name":"servers_changed","server":"a","state":"gone"}
 2.5 edge-1 {"time":"03","name":"request_failed","id":"r","reason":"may_have_run"}
 2.4 edge-1 {"time":"02","name":"upstream_failed","id":"r","server":"a","end":"broken"}
 2.6 edge-1 {"time":"04","name":"request_refused","id":"q","reason":"quota"}
{"time":"05","name":"request_ended","id":"s","outcome":"answered"}
 3.0 edge-1 {"torn)";

TEST(explain, orders_a_request_and_names_what_sealed_it)
{
    const auto story = explain_request("r", read(example));
    ASSERT_EQ(story.events.size(), 3);
    EXPECT_EQ(story.events[0].name, "servers_changed");
    EXPECT_EQ(story.events[0].source, "edge-1") << "not another machine's view";
    EXPECT_EQ(story.events[1].name, "upstream_failed");
    EXPECT_TRUE(story.cause.starts_with("failed: a server broke off"));
    EXPECT_TRUE(story.cause.ends_with("(server a: broken)"));
}

TEST(explain, a_stream_cut_off_at_its_deadline_is_not_blamed_on_its_server)
{
    const auto story = explain_request(
        "r",
        read(
            R"({"time":"1","name":"upstream_failed","id":"r","server":"a","end":"late"}
{"time":"2","name":"request_ended","id":"r","outcome":"broken_off"})"));
    EXPECT_TRUE(story.cause.starts_with("broken off: its time was over"));
}

TEST(explain, finds_a_server_in_a_line_that_tells_of_several)
{
    const auto story = explain_request(
        "r",
        read(
            R"({"time":"1","name":"servers_changed","count":"2","servers":"a=ready@north b=gone"}
{"time":"2","name":"upstream_failed","id":"r","server":"b","end":"broken"}
{"time":"3","name":"request_failed","id":"r","reason":"may_have_run"})"));
    ASSERT_EQ(story.events.size(), 3);
    EXPECT_EQ(story.events[0].fields.at("server"), "b");
    EXPECT_EQ(story.events[0].fields.at("state"), "gone");
}

TEST(explain, names_the_start_of_a_server_that_a_request_ran_at)
{
    const auto story = explain_request(
        "r",
        read(
            R"({"time":"1","name":"upstream_failed","id":"r","server":"a","born":"1764720000123","end":"broken"}
{"time":"2","name":"request_failed","id":"r","reason":"may_have_run"})"));
    EXPECT_TRUE(story.cause.ends_with("(server a born 1764720000123: broken)"));
}

TEST(explain, leads_from_a_rejected_request_to_the_limit_that_rejected_it)
{
    const auto story = explain_request(
        "r",
        read(
            R"({"time":"1","name":"upstream_limit_changed","server":"a","limit":"1","origin":"peer"}
{"time":"2","name":"upstream_limit_reached","count":"1","servers":"a"}
{"time":"3","name":"request_refused","id":"r","reason":"servers_limited","passed_over":"a b"})"));
    ASSERT_EQ(story.events.size(), 2);
    EXPECT_EQ(story.events[0].name, "upstream_limit_changed");
    EXPECT_TRUE(story.cause.ends_with("within the limit that it has named"));
}

TEST(explain, names_a_host_without_a_path_to_its_upstreams)
{
    const auto story = explain_request(
        "r",
        read(
            R"({"time":"1","name":"request_refused","id":"r","reason":"no_upstream_path"})"));
    EXPECT_TRUE(story.cause.starts_with(
        "refused: this machine could connect to no server of the service"));
}

TEST(explain, tells_requests_apart)
{
    EXPECT_EQ(explain_request("q", read(example)).cause,
              "refused: its tenant was beyond its quota");
    const auto answered = explain_request("s", read(example));
    EXPECT_EQ(answered.cause, "answered");
    EXPECT_EQ(answered.events.front().source, "file");
    EXPECT_TRUE(explain_request("x", read(example)).events.empty());
}

TEST(explain, tells_a_roll_out_step_by_step)
{
    const auto story = explain_rollout(
        "engines",
        read(
            R"({"time":"1","name":"rollout_ordered","service":"engines","offset":"5"}
{"time":"2","name":"rollout_ordered","service":"engines","offset":"5"}
{"time":"2","name":"rollout_step","service":"other","reason":"x"}
{"time":"3","name":"rollout_step","service":"engines","reason":"failures on all routes"}
{"time":"4","name":"rollout_written","service":"engines","state":"rolled_back","outcome":"written"})"));
    ASSERT_EQ(story.events.size(), 3);
    EXPECT_EQ(story.events.front().name, "rollout_ordered");
    EXPECT_EQ(story.cause, "rolled_back (written): failures on all routes");
    EXPECT_TRUE(explain_rollout("nobody", read("")).events.empty());
}

} // namespace
} // namespace daleshelf
