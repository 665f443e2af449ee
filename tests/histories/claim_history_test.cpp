#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <base/json.hpp>
#include <csignal>
#include <functional>
#include <map>
#include <set>
#include <tests/support/fleet.hpp>
#include <tests/support/waiting.hpp>
#include <thread>

namespace daleshelf
{
namespace
{

using test::fleet;

/// What a caller was told of one try.
struct told
{
    std::string key;
    int status = 0;
    std::string verdict;
    std::string body;
};

/// Callers that publish through several entry hosts with the same keys.
class claim_history : public testing::Test
{
protected:
    claim_history()
    {
        m_fleet.start_platform();
        m_fleet.start_halls({"a", "b", "c"});
        const auto url = m_fleet.start_service("index");
        m_fleet.apply("entry-a", {test::make_workspace("registry", "key"),
                                  test::make_resource("service", "index", {}),
                                  test::make_resource("upstream", "index",
                                                      {{"type", "service"},
                                                       {"url", url},
                                                       {"hall", "a"},
                                                       {"service", "index"}})});
        for (const std::string hall : {"a", "b", "c"})
        {
            m_fleet.wait_until_current("entry-" + hall);
            wait_for_claims("entry-" + hall);
        }
    }

    /// Waits until a host can settle claims at all.
    void wait_for_claims(const std::string& host)
    {
        test::wait_until(
            [&] { return publish(host, "warm-" + host).status == 200; },
            host + " settles claims");
    }

    told publish(const std::string& host, const std::string& key)
    {
        const auto response = m_fleet.send(
            "POST", m_fleet.host(host).callers_url + "/services/index/publish",
            R"({"package":")" + key + R"("})",
            {{"Authorization", "Bearer key"}, {"Idempotency-Key", key}});
        told entry{key, response.status, "", response.body};
        for (const auto& header : response.headers)
        {
            if (header.name == "daleshelf-verdict")
            {
                entry.verdict = header.value;
            }
        }
        return entry;
    }

    /// Every caller publishes the same keys, each through another host.
    void run(int callers, int keys, const std::function<void()>& faults)
    {
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(callers));
        for (int caller = 0; caller < callers; ++caller)
        {
            threads.emplace_back(
                [this, caller, keys]
                {
                    for (int i = 0; i < keys; ++i)
                    {
                        call(caller, "k" + std::to_string(i));
                    }
                });
        }
        faults();
        for (auto& thread : threads)
        {
            thread.join();
        }
    }

    void call(int caller, const std::string& key)
    {
        const std::string halls = "abc";
        const auto hall =
            halls.substr(static_cast<std::size_t>(caller) % halls.size(), 1);
        told entry{key, 0, "", ""};
        try
        {
            entry = publish("entry-" + hall, key);
        }
        catch (const std::exception&)
        {
            // The host is gone; the caller knows nothing.
        }
        absl::MutexLock lock(&m_mutex);
        m_told.push_back(entry);
    }

    std::map<std::string, int> executions()
    {
        const auto answer = m_fleet.send("GET", m_fleet.standin("index").url +
                                                    "/standin/received");
        const auto body = parse_object(answer.body);
        std::map<std::string, int> counts;
        for (const auto& entry : *find_array(body, "received"))
        {
            const auto sent =
                parse_object(require_string(entry.as_object(), "body"));
            ++counts[require_string(sent, "package")];
        }
        return counts;
    }

    /// No key ran twice; who was told 200 was told of the one run; a key that
    /// everybody was told not to have run, did not run.
    void check(int least_successes)
    {
        const auto runs = executions();
        std::map<std::string, std::set<std::string>> answers;
        std::map<std::string, bool> is_surely_not_run;
        int successes = 0;
        for (const auto& entry : m_told)
        {
            const auto found = is_surely_not_run.emplace(entry.key, true);
            found.first->second =
                found.first->second && entry.verdict == "not_run";
            if (entry.status == 200)
            {
                ++successes;
                answers[entry.key].insert(entry.body);
                EXPECT_TRUE(runs.contains(entry.key)) << entry.key;
            }
        }
        for (const auto& [key, count] : runs)
        {
            EXPECT_EQ(1, count) << key << " ran more than once";
            EXPECT_FALSE(is_surely_not_run[key]) << key;
        }
        for (const auto& [key, bodies] : answers)
        {
            EXPECT_EQ(1U, bodies.size()) << key;
        }
        EXPECT_GE(successes, least_successes);
    }

    fleet m_fleet;
    absl::Mutex m_mutex;
    std::vector<told> m_told;
};

TEST_F(claim_history, runs_a_key_once_through_whatever_host_it_comes)
{
    run(6, 15, [] {});
    check(15);
}

TEST_F(claim_history, runs_a_key_once_when_answers_of_the_log_are_lost)
{
    m_fleet.set_platform_fault("log", {{"lose_answers", 12}});
    run(6, 10, [] {});
    check(10);
}

TEST_F(claim_history, says_not_run_while_the_log_is_down)
{
    m_fleet.set_platform_fault("log", {{"down", true}});
    test::wait_until(
        [this] { return publish("entry-a", "probe").verdict == "not_run"; },
        "the host has found the log down");
    run(3, 3, [] {});
    check(0);
    for (const auto& entry : m_told)
    {
        EXPECT_EQ(503, entry.status);
    }
    EXPECT_FALSE(executions().contains("k0"));
}

TEST_F(claim_history, runs_a_key_once_when_hosts_freeze_and_die)
{
    run(6, 10,
        [this]
        {
            auto& frozen = *m_fleet.host("entry-a").process;
            absl::SleepFor(absl::Milliseconds(150));
            frozen.send(SIGSTOP);
            absl::SleepFor(absl::Seconds(2));
            m_fleet.host("entry-b").process->send(SIGKILL);
            frozen.send(SIGCONT);
        });
    check(1);
}

TEST_F(claim_history, does_not_repeat_a_call_whose_answer_was_lost)
{
    m_fleet.set_fault("index", {{"lose_answers", 1}});
    const auto first = publish("entry-a", "lost");
    EXPECT_EQ(504, first.status);
    EXPECT_EQ("may_have_run", first.verdict);
    const auto again = publish("entry-b", "lost");
    EXPECT_NE(200, again.status);
    EXPECT_NE("not_run", again.verdict);
    EXPECT_EQ(1, executions()["lost"]);
}

} // namespace
} // namespace daleshelf
