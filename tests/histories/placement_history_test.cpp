#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <base/json.hpp>
#include <csignal>
#include <set>
#include <tests/support/fleet.hpp>
#include <tests/support/waiting.hpp>

namespace daleshelf
{
namespace
{

using test::fleet;

/// Two entry hosts of one hall and two engines that hold nothing yet.
class placement_history : public testing::Test
{
protected:
    placement_history()
    {
        m_fleet.start_platform();
        for (const auto* name : {"engine-0", "engine-1"})
        {
            m_fleet.start_engine(name, {"--load-ms", "50"});
        }
    }

    void start_hosts()
    {
        const auto port = m_fleet.free_port();
        const auto seed = "peers.seeds = [\"" + m_fleet.address() + ":" +
                          std::to_string(port) + "\"]";
        m_fleet.start_host({"one", "a", {seed}, port});
        m_fleet.start_host({"two", "a", {seed}, 0});
    }

    void declare(int replicas)
    {
        boost::json::array resources{
            test::make_workspace("studio", "key"),
            test::make_resource(
                "deployment", "captions",
                {{"model", "m"}, {"replicas_per_hall", replicas}})};
        for (const auto* name : {"engine-0", "engine-1"})
        {
            auto engine =
                test::make_engine(name, "a", m_fleet.standin(name).url, "m");
            engine["body"].as_object()["models"] = boost::json::array{};
            engine["body"].as_object()["checks_fencing"] = true;
            resources.push_back(std::move(engine));
        }
        m_fleet.apply("one", resources);
    }

    /// Asks for a second replica, through the host that is not frozen.
    void declare_more(const std::string& host)
    {
        m_fleet.apply(host, {test::make_resource(
                                "deployment", "captions",
                                {{"model", "m"}, {"replicas_per_hall", 2}})});
    }

    bool is_planner(const std::string& host)
    {
        const auto answer = m_fleet.operate(host, "GET", "/apis/v1/status");
        return parse_object(answer.body).at("planner").as_bool();
    }

    bool is_held(const std::string& host, const std::string& engine)
    {
        const auto answer = m_fleet.operate(
            host, "GET", "/apis/v1/resources/upstream/" + engine);
        const auto fields = parse_object(answer.body);
        const auto* body = find_object(fields, "body");
        return body != nullptr && !find_array(*body, "models")->empty();
    }

    boost::json::object orders(const std::string& engine)
    {
        const auto answer =
            m_fleet.send("GET", m_fleet.standin(engine).url + "/orders");
        return parse_object(answer.body);
    }

    fleet m_fleet;
};

TEST_F(placement_history, loads_what_is_declared_and_serves_it)
{
    start_hosts();
    declare(2);
    test::wait_until(
        [this]
        { return is_held("two", "engine-0") && is_held("two", "engine-1"); },
        "both engines hold the model");
    const auto response = m_fleet.send(
        "POST", m_fleet.host("two").callers_url + "/v1/completions",
        R"({"model":"captions","prompt":"a title","max_tokens":3})",
        {{"Authorization", "Bearer key"}});
    EXPECT_EQ(200, response.status) << response.body;
}

TEST_F(placement_history, orders_one_host_although_the_answer_was_lost)
{
    start_hosts();
    m_fleet.set_platform_fault("cloud", {{"lose_answers", 0}});
    declare(3); // there are two engines
    const auto started = [this]
    {
        const auto answer =
            m_fleet.send("GET", m_fleet.platform_url() + "/hosts");
        const auto body = parse_object(answer.body);
        return find_array(body, "hosts")->size();
    };
    m_fleet.set_platform_fault("cloud", {{"refuse_starts", 1}});
    test::wait_until([&] { return started() >= 1; }, "a host was started");
    absl::SleepFor(absl::Seconds(3));
    EXPECT_EQ(1U, started());
}

TEST_F(placement_history, goes_on_with_a_higher_token_when_the_planner_freezes)
{
    start_hosts();
    declare(1);
    test::wait_until(
        [this]
        { return is_held("one", "engine-0") || is_held("one", "engine-1"); },
        "one engine holds the model");
    const std::string engine =
        is_held("one", "engine-0") ? "engine-0" : "engine-1";
    const auto first = require_integer(orders(engine), "highest");
    // Whoever holds the lease is frozen; the other one must take over.
    const std::string frozen = is_planner("one") ? "one" : "two";
    const std::string left = frozen == "one" ? "two" : "one";
    ASSERT_TRUE(is_planner(frozen));
    m_fleet.host(frozen).process->send(SIGSTOP);
    declare_more(left);
    const std::string other = engine == "engine-0" ? "engine-1" : "engine-0";
    test::wait_until([&] { return is_held(left, other); },
                     "the other engine holds the model, too");
    EXPECT_GT(require_integer(orders(other), "highest"), first);
    m_fleet.host(frozen).process->send(SIGCONT);
    test::wait_until([&] { return !is_planner(frozen) && is_planner(left); },
                     "the frozen host knows that it has lost the lease");
}

} // namespace
} // namespace daleshelf
