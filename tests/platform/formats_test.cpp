#include <gtest/gtest.h>

#include <base/json.hpp>
#include <base/text.hpp>
#include <platform/configuration_format.hpp>
#include <platform/duty_calls.hpp>
#include <platform/request_format.hpp>
#include <platform/rollout_format.hpp>
#include <platform/store_calls.hpp>

namespace daleshelf::platform
{
namespace
{

message_fields make_fields(std::vector<message_field> list)
{
    message_fields fields;
    fields.fields = std::move(list);
    return fields;
}

TEST(request_format, reads_what_a_client_says)
{
    const auto facts = read_facts(make_fields({
        {"X-Attempt-Id", "abc"},
        {"X-Deadline-Ms", "8000"},
        {"X-Token-Count", "1460, 80"},
        {"X-Prompt-Prefix", "5c1e:800,91bd:410"},
        {"Last-Event-Id", "12"},
        {"Resumes", "abb"},
        {"X-Credential", "key"},
    }));
    EXPECT_EQ(facts.id.value(), "abc");
    EXPECT_EQ(facts.deadline, std::chrono::milliseconds(8000));
    EXPECT_EQ(facts.prompt_tokens, 1460);
    EXPECT_EQ(facts.max_output_tokens, 80);
    ASSERT_EQ(facts.prompt.size(), 2);
    EXPECT_EQ(facts.prompt[1].id, "91bd");
    EXPECT_EQ(facts.prompt[1].tokens, 410);
    EXPECT_EQ(facts.last_event, 12);
    EXPECT_EQ(facts.resumed, request_id("abb"));
}

TEST(request_format, leaves_out_what_cannot_be_read)
{
    const auto facts = read_facts(make_fields({
        {"X-Deadline-Ms", "soon"},
        {"X-Token-Count", ""},
        {"X-Prompt-Prefix", "a,b:x,:"},
        {"Last-Event-Id", "1x"},
    }));
    EXPECT_FALSE(facts.deadline);
    EXPECT_EQ(facts.prompt_tokens, 0);
    EXPECT_FALSE(facts.last_event);
}

TEST(request_format, a_request_has_exactly_one_id)
{
    EXPECT_FALSE(has_valid_id(make_fields({})));
    EXPECT_FALSE(has_valid_id(
        make_fields({{"X-Attempt-Id", "1"}, {"x-attempt-id", "2"}})));
    EXPECT_TRUE(has_valid_id(make_fields({{"X-Attempt-Id", "1"}})));
}

TEST(request_format, servers_never_see_keys_or_what_the_gateway_sets)
{
    for (const auto* name : {"x-credential", "X-Tenant", "X-Expect-Instance",
                             "Kv-From", "X-Request-Priority", "X-Deadline-Ms"})
    {
        EXPECT_TRUE(is_stripped(name)) << name;
    }
    EXPECT_FALSE(is_stripped("X-Model"));
}

TEST(request_format, only_a_stated_refusal_has_not_run)
{
    response_head head;
    head.status = 503;
    EXPECT_FALSE(states_not_run(head));
    head.fields = make_fields({{"X-Not-Executed", "1"}});
    EXPECT_TRUE(states_not_run(head));
    head.fields = {};
    head.status = 421;
    EXPECT_TRUE(states_not_run(head));
    head.fields = make_fields({{"X-Attempt-Id", "1"}});
    EXPECT_FALSE(states_not_run(head)) << "the server has read the request";
}

TEST(request_format, reads_what_a_server_says_of_itself)
{
    response_head head;
    head.status = 200;
    head.fields.fields = {{"Server-Leaving", "1"}, {"Retry-After", "3"}};
    EXPECT_TRUE(read_notice(head).is_leaving);
    EXPECT_FALSE(read_notice(head).back_off)
        << "only a rejection carries a back-off";
    head.status = 503;
    EXPECT_EQ(read_notice(head).back_off, std::chrono::milliseconds(3000));
    head.fields.fields = {{"server-leaving", "0"}, {"retry-after", " 0.25 "}};
    EXPECT_FALSE(read_notice(head).is_leaving);
    EXPECT_EQ(read_notice(head).back_off, std::chrono::milliseconds(250));
}

TEST(request_format, reads_whether_a_server_bears_rejecting)
{
    response_head head;
    head.status = 200;
    head.fields.fields = {{"server-brittle", " 4 "}};
    EXPECT_EQ(read_notice(head).rejection_limit, 4.0);
    EXPECT_FALSE(read_notice(head).is_rejected);
    head.status = 503;
    head.fields.fields = {{"Server-Brittle", "0"}, {"X-Not-Executed", "1"}};
    EXPECT_EQ(read_notice(head).rejection_limit, 0.0);
    EXPECT_TRUE(read_notice(head).is_rejected);
    for (const auto* text : {"", "-1", "many", "inf"})
    {
        head.fields.fields = {{"Server-Brittle", text}};
        EXPECT_FALSE(read_notice(head).rejection_limit) << text;
        EXPECT_FALSE(read_notice(head).withdraws_rejection_limit) << text;
    }
    head.status = 200;
    head.fields.fields = {{"X-Server-Seal", "s"}};
    EXPECT_TRUE(read_notice(head).withdraws_rejection_limit);
}

TEST(request_format, ignores_a_back_off_that_is_not_a_number_of_seconds)
{
    response_head head;
    head.status = 503;
    for (const auto* text : {"", "-1", "nan", "3 s", "Wed, 21 Oct 2026"})
    {
        head.fields.fields = {{"Retry-After", text}};
        EXPECT_FALSE(read_notice(head).back_off) << text;
    }
    for (const auto* text : {"1e300", "inf", "86401"})
    {
        head.fields.fields = {{"Retry-After", text}};
        EXPECT_EQ(read_notice(head).back_off, std::chrono::hours(24)) << text;
    }
}

TEST(request_format, reads_the_limit_that_a_server_names)
{
    response_head head;
    head.status = 200;
    head.fields.fields = {{"server-limit", " 2.5 "}};
    EXPECT_EQ(read_notice(head).limit, 2.5);
    head.status = 503;
    head.fields.fields = {{"Server-Limit", "0"}};
    EXPECT_EQ(read_notice(head).limit, 0.0);
}

TEST(request_format, a_limit_that_is_no_decimal_number_says_nothing)
{
    response_head head;
    head.status = 200;
    for (const auto& text :
         {std::string(), std::string("-1"), std::string("nan"),
          std::string("inf"), std::string("1e309"), std::string("5 a second"),
          std::string(20'000, '9')})
    {
        head.fields.fields = {{"Server-Limit", text}, {"X-Server-Seal", "s"}};
        const auto notice = read_notice(head);
        EXPECT_FALSE(notice.limit) << text;
        EXPECT_FALSE(notice.withdraws_limit) << text;
        EXPECT_TRUE(notice.has_malformed_limit) << text;
    }
    head.fields.fields = {{"Server-Limit", "1"}, {"Server-Limit", "2"}};
    EXPECT_TRUE(read_notice(head).has_malformed_limit);
}

TEST(request_format, only_a_signed_response_of_the_server_withdraws_its_limit)
{
    response_head head;
    head.status = 200;
    EXPECT_FALSE(read_notice(head).withdraws_limit) << "without a signature";
    head.fields.fields = {{"X-Server-Seal", "s"}};
    EXPECT_TRUE(read_notice(head).withdraws_limit);
    head.status = 421;
    EXPECT_FALSE(read_notice(head).withdraws_limit);
    head.status = 100;
    EXPECT_FALSE(read_notice(head).withdraws_limit);
}

TEST(request_format, reads_how_long_a_server_keeps_a_connection)
{
    EXPECT_EQ(idle_time(make_fields({{"Keep-Alive", "timeout=5, max=9"}})),
              std::chrono::seconds(5));
    EXPECT_FALSE(idle_time(make_fields({{"Keep-Alive", "max=9"}})));
}

constexpr std::string_view configuration_text = R"({"version":7,"new":{"x":1},
"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"streaming",
"timeoutMs":4000,"targetLatencyMs":1000,"priority":2,"maxAttempts":3,
"streamResume":true,"trafficSplit":[{"service":"s","weight":90},
{"service":"t","weight":10}]},
{"host":"h","pathPrefix":"/q/","kind":"later","service":"t"}],
"services":[{"name":"s","maxConnections":9,"engine":{"slots":4,
"kvCapacityTokens":100},"scaling":{"min":1,"max":6,"bootTimeS":4.0,
"spotPrice":0.22,"zonePrices":{"a":0.85}}}],
"tenants":[{"name":"w","apiKeys":["k"],"unit":"token","plainTokens":200,
"ratePerS":10,"burst":20,"priority":1}],
"limits":{"maxHeaderBytes":100,"idleTimeoutMs":15000}})";

TEST(configuration_format, reads_routes_services_tenants_and_limits)
{
    const auto read = read_configuration(configuration_text);
    EXPECT_EQ(read.version, 7);
    ASSERT_EQ(read.routes.size(), 2);
    EXPECT_EQ(read.routes[0].kind, request_kind::streaming);
    EXPECT_EQ(read.routes[0].targets.size(), 2);
    EXPECT_TRUE(allows_repeats(read.routes[0]));
    EXPECT_FALSE(allows_repeats(read.routes[1])) << "an unknown kind";
    EXPECT_TRUE(read.services[0].is_engine);
    EXPECT_EQ(read.services[0].scaling.boot_time,
              std::chrono::milliseconds(4000));
    EXPECT_EQ(read.services[0].scaling.hall_prices.at(hall_id("a")), 0.85);
    EXPECT_TRUE(read.tenants[0].counts_tokens);
    EXPECT_EQ(read.tenants[0].limit.burst, 20);
    EXPECT_EQ(read.limits.header_bytes, 100);
}

TEST(configuration_format, refuses_numbers_out_of_their_range)
{
    for (const std::string field :
         {R"("timeoutMs":2.2e26)", R"("maxAttempts":9e11)",
          R"("priority":-9e300)"})
    {
        EXPECT_THROW((void)read_configuration(
                         concat(R"({"version":1,"routes":[{"name":"r",)"
                                R"("host":"h","pathPrefix":"/","service":"s",)",
                                field, "}]}")),
                     json_error)
            << field;
    }
}

TEST(configuration_format, refuses_what_cannot_be_served)
{
    EXPECT_THROW((void)read_configuration("{}"), json_error);
    EXPECT_THROW((void)read_configuration("[1]"), json_error);
    EXPECT_THROW(
        (void)read_configuration(R"({"version":1,"routes":[{"host":"h"}]})"),
        json_error);
    EXPECT_THROW(
        (void)read_configuration(
            R"({"version":1,"routes":[{"host":"h","pathPrefix":"/"}]})"),
        json_error)
        << "a route without a service";
}

TEST(rollout_format, reads_an_order)
{
    const auto service = rollout_service("rollout/engines");
    ASSERT_TRUE(service);
    EXPECT_EQ(*service, service_name("engines"));
    EXPECT_EQ(rollout_key(*service), "rollout/engines");
    EXPECT_FALSE(rollout_service("config"));
    const auto order = read_rollout(
        R"({"service":"engines","targetVersion":"v2","durationS":12.5})",
        log_offset(7));
    EXPECT_EQ(order.service, service_name("engines"));
    EXPECT_EQ(order.target, version_name("v2"));
    EXPECT_EQ(order.duration, absl::Milliseconds(12500));
    EXPECT_EQ(order.offset, log_offset(7));
    EXPECT_THROW((void)read_rollout(R"({"service":"engines"})", log_offset(7)),
                 json_error);
}

TEST(rollout_format, a_status_comes_back_as_it_was_written)
{
    rollout_status status;
    status.service = service_name("engines");
    status.target = version_name("v2");
    status.phase = rollout_phase::rolled_back;
    status.order = log_offset(7);
    status.ordered_at = absl::FromUnixMillis(1234567);
    const auto text = write_rollout_status(status);
    EXPECT_NE(text.find(R"("state":"rolled_back")"), std::string::npos);
    const auto read = read_rollout_status(status.service, text);
    EXPECT_EQ(read.target, status.target);
    EXPECT_EQ(read.phase, status.phase);
    EXPECT_EQ(read.order, status.order);
    EXPECT_EQ(read.ordered_at, status.ordered_at);
    EXPECT_THROW(
        (void)read_rollout_status(status.service, R"({"state":"gone"})"),
        json_error);
}

TEST(configuration_format, reads_servers)
{
    const auto entry =
        read_server("i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"a",
        "version":"v1","slots":6,"state":"draining","coldRemainingMs":20,
        "spot":true,"sequence":7,"born":1764720000123,"later":[1]})");
    EXPECT_EQ(entry.id.value(), "i-1");
    EXPECT_TRUE(entry.is_draining);
    EXPECT_TRUE(entry.is_spot);
    EXPECT_EQ(entry.slots, 6);
    EXPECT_EQ(entry.sequence, 7);
    EXPECT_EQ(entry.started_at, upstream_birth(1764720000123));
}

// An entry with one missing or malformed field is rejected as a whole.
TEST(configuration_format, rejects_malformed_server_entries)
{
    const auto valid = boost::json::parse(
                           R"({"service":"s","address":"10.0.0.1:80","zone":"a",
        "version":"v1","slots":6,"state":"ready","sequence":7})")
                           .as_object();
    ASSERT_NO_THROW((void)read_server("i", boost::json::serialize(valid)));
    for (const auto& [key, value] : valid)
    {
        auto incomplete = valid;
        incomplete.erase(key);
        EXPECT_THROW((void)read_server("i", boost::json::serialize(incomplete)),
                     json_error)
            << "without " << key;
        auto changed = valid;
        changed[key] = boost::json::array{value};
        EXPECT_THROW((void)read_server("i", boost::json::serialize(changed)),
                     json_error)
            << key << " is a list";
    }
    const std::vector<std::pair<std::string, boost::json::value>> malformed{
        {"service", ""},
        {"state", "asleep"},
        {"state", ""},
        {"slots", 0},
        {"slots", -4},
        {"slots", 1e18},
        {"sequence", -1},
        {"address", ""},
        {"address", "host:80"},
        {"zone", ""},
        {"address", "10.0.0.1"},
        {"address", ":80"},
        {"born", "1764"},
        {"address", "10.0.0.1:"},
        {"born", 17.5},
        {"coldRemainingMs", "soon"},
        {"address", "10.0.0.1:99999"}};
    for (const auto& [key, value] : malformed)
    {
        auto changed = valid;
        changed[key] = value;
        EXPECT_THROW((void)read_server("i", boost::json::serialize(changed)),
                     json_error)
            << key << " is " << value;
    }
}

TEST(store_calls, records_with_keys_survive_their_encoding)
{
    const auto record =
        decode_keyed(encode_keyed("key", "value"), log_offset(4));
    EXPECT_EQ(record.key, "key");
    EXPECT_EQ(record.value, "value");
    EXPECT_FALSE(decode_keyed(encode_keyed("key", ""), log_offset(4)).value);
}

// Any client can write to the store, so a torn record must not stop the reader.
TEST(store_calls, a_torn_record_names_no_key)
{
    const std::vector<std::string> torn{"",
                                        "\x05"
                                        "ab",
                                        "\xff", std::string("\0value", 6)};
    for (const auto& content : torn)
    {
        const auto record = decode_keyed(content, log_offset(7));
        EXPECT_FALSE(record.is_readable());
        EXPECT_FALSE(record.value);
        EXPECT_EQ(record.offset, log_offset(7));
    }
}

TEST(store_calls, reads_pages_and_refuses_torn_ones)
{
    const std::string numbers("\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x02", 16);
    const auto call = append_call("t", {"ab", "c"}, log_offset(7));
    EXPECT_EQ(call.target, "/log-append?topic=t&part=0&at=7");
    const auto page = read_page(numbers + call.body);
    EXPECT_EQ(page.end, log_offset(9));
    EXPECT_EQ(page.first, log_offset(2));
    EXPECT_EQ(page.records, (std::vector<std::string>{"ab", "c"}));
    EXPECT_THROW((void)read_page(numbers + call.body.substr(0, 5)), json_error);
    EXPECT_THROW((void)read_page("short"), json_error);
}

TEST(store_calls, reads_the_newest_of_each_key)
{
    const auto page = read_newest(
        R"({"items":[{"privateKey":"a","value":"eA==","offset":4},
        {"privateKey":"b","value":"","offset":5}],"more":true,"end":6})");
    ASSERT_EQ(page.records.size(), 2);
    EXPECT_EQ(page.records[0].value, "x");
    EXPECT_FALSE(page.records[1].value);
    EXPECT_TRUE(page.has_more);
    EXPECT_EQ(page.last_key, "b");
}

TEST(store_calls, a_list_goes_on_past_items_that_cannot_be_read)
{
    const auto page = read_newest(
        R"({"items":[7,{"value":"eA==","offset":1},
        {"privateKey":3,"value":"eA==","offset":2},
        {"privateKey":"a","value":"eA==","offset":"3"},
        {"privateKey":"b","value":"!!","offset":4},
        {"privateKey":"c","value":{"x":1},"offset":5},
        {"privateKey":"d","value":"eA==","offset":6}],"more":true,"end":9})");
    ASSERT_EQ(page.records.size(), 3);
    EXPECT_EQ(page.skipped, 4);
    EXPECT_EQ(page.records[0].key, "b");
    EXPECT_EQ(page.records[0].value, "!!");
    EXPECT_EQ(page.records[1].value, R"({"x":1})");
    EXPECT_EQ(page.records[2].value, "x");
    EXPECT_EQ(page.last_key, "d");
}

TEST(store_calls, only_an_acknowledged_append_is_certain)
{
    using outcome = append_response::outcome;
    EXPECT_EQ(read_append_response(200, R"({"offset":3,"end":4})").state,
              outcome::appended);
    EXPECT_EQ(read_append_response(412, R"({"end":4})").state,
              outcome::end_mismatch);
    EXPECT_EQ(read_append_response(503, "").state, outcome::rejected);
    EXPECT_EQ(read_append_response(200, "torn").state, outcome::unknown);
}

TEST(duty_calls, carry_their_holder_and_what_was_settled)
{
    std::string fields;
    write_duty_fields(fields, host_id("edge-1"), 12);
    EXPECT_EQ(fields, "X-Duty-Holder: edge-1\r\nX-Fencing-Token: 12\r\n");
    EXPECT_EQ(usage_call(7, {{workspace_id("w"), 3}}).body,
              R"({"windowId":7,"counts":{"w":3}})");
    EXPECT_EQ(scale_call({service_name("s"), hall_id("a"), 6, true}).body,
              R"({"service":"s","zone":"a","desiredCount":6,"spot":true})");
}

} // namespace
} // namespace daleshelf::platform
