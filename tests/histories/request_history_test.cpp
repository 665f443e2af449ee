#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include <base/json.hpp>
#include <csignal>
#include <functional>
#include <set>
#include <tests/support/fleet.hpp>
#include <tests/support/test_caller.hpp>
#include <tests/support/waiting.hpp>
#include <thread>

namespace daleshelf
{
namespace
{

using test::caller_outcome;
using test::caller_request;
using test::fleet;

/// A request and what its caller got.
struct finished_request
{
    caller_request request;
    caller_outcome outcome;
};

/// Three halls, each with an entry host and an engine, and callers at all.
class request_history : public testing::Test
{
protected:
    request_history()
    {
        m_fleet.start_platform();
        m_fleet.start_halls({"a", "b", "c"});
        boost::json::array resources{
            test::make_workspace("studio", "key"),
            test::make_resource("deployment", "captions", {{"model", "m"}})};
        for (const std::string hall : {"a", "b", "c"})
        {
            // Slow enough for faults to find requests in flight.
            const auto name = "engine-" + hall;
            const auto url = m_fleet.start_engine(
                name, {"--model", "m", "--step-us", "20000"});
            resources.push_back(test::make_engine(name, hall, url, "m"));
            register_host("entry-" + hall, hall);
            register_host(name, hall);
        }
        m_fleet.apply("entry-a", resources);
        for (const std::string hall : {"a", "b", "c"})
        {
            m_fleet.wait_until_current("entry-" + hall);
        }
    }

    void register_host(const std::string& id, const std::string& hall)
    {
        (void)m_fleet.send("POST", m_fleet.platform_url() + "/hosts",
                           boost::json::serialize(boost::json::object{
                               {"id", id}, {"hall", hall}}));
    }

    /// Announces a reclaim; the hosts' processes are killed by `kill`.
    void reclaim(const std::string& what, const std::string& name,
                 int notice_ms)
    {
        (void)m_fleet.send("POST", m_fleet.platform_url() + "/cloud/reclaims",
                           boost::json::serialize(boost::json::object{
                               {what, name}, {"notice_ms", notice_ms}}));
    }

    void kill_entry(const std::string& hall)
    {
        m_fleet.host("entry-" + hall).process->send(SIGKILL);
    }

    void kill_engine(const std::string& hall)
    {
        m_fleet.standin("engine-" + hall).process->send(SIGKILL);
    }

    /// Sends requests from many callers at all hosts, lets faults happen, and
    /// waits for all final answers.
    void run(int callers, int tokens, const std::function<void()>& faults,
             bool is_repeatable = true)
    {
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(callers));
        for (int i = 0; i < callers; ++i)
        {
            threads.emplace_back([this, i, tokens, is_repeatable]
                                 { call(i, tokens, is_repeatable); });
        }
        wait_until_running(1);
        faults();
        for (auto& thread : threads)
        {
            thread.join();
        }
    }

    void call(int number, int tokens, bool is_repeatable)
    {
        std::vector<std::string> hosts;
        for (int i = 0; i < 3; ++i)
        {
            const std::string halls = "abc";
            const auto hall = halls.substr(
                static_cast<std::size_t>(number + i) % halls.size(), 1);
            hosts.push_back(m_fleet.host("entry-" + hall).callers_url);
        }
        caller_request request;
        request.prompt = "prompt number " + std::to_string(number);
        request.max_tokens = tokens;
        request.is_stream = number % 2 == 0;
        request.is_repeatable = is_repeatable;
        test::test_caller caller(m_fleet.client(), hosts);
        const auto outcome = caller.complete(request);
        absl::MutexLock lock(&m_mutex);
        m_finished.push_back({request, outcome});
    }

    std::size_t received(const std::string& engine)
    {
        try
        {
            const auto answer = m_fleet.send(
                "GET", m_fleet.standin(engine).url + "/standin/received");
            const auto body = parse_object(answer.body);
            return find_array(body, "received")->size();
        }
        catch (const std::exception&)
        {
            return 0; // it is gone
        }
    }

    void wait_until_running(std::size_t count)
    {
        test::wait_until(
            [&]
            {
                return received("engine-a") + received("engine-b") +
                           received("engine-c") >=
                       count;
            },
            "requests are running");
    }

    /// Everybody got the whole answer to the own request.
    void check_all_whole()
    {
        for (const auto& [request, outcome] : m_finished)
        {
            EXPECT_TRUE(outcome.is_complete)
                << request.prompt << " (" << outcome.request_id
                << "): " << outcome.error_code << " " << outcome.verdict;
            EXPECT_EQ(
                test::expected_answer("m", request.prompt, request.max_tokens),
                outcome.text)
                << outcome.request_id;
        }
    }

    void check_nothing_cut()
    {
        for (const auto& [request, outcome] : m_finished)
        {
            EXPECT_EQ(0, outcome.cut_connections) << outcome.request_id;
        }
    }

    int moves()
    {
        int count = 0;
        for (const auto& entry : m_finished)
        {
            count += entry.outcome.moves;
        }
        return count;
    }

    fleet m_fleet;
    absl::Mutex m_mutex;
    std::vector<finished_request> m_finished;
};

constexpr int callers = 18;
constexpr int tokens = 80;

TEST_F(request_history, survives_the_reclaim_of_an_engine)
{
    run(callers, tokens,
        [this]
        {
            reclaim("host", "engine-a", 2000);
            absl::SleepFor(absl::Seconds(2));
            kill_engine("a");
        });
    check_all_whole();
    check_nothing_cut();
}

TEST_F(request_history, survives_an_engine_that_dies_unannounced)
{
    run(callers, tokens, [this] { kill_engine("b"); });
    check_all_whole();
    check_nothing_cut();
}

TEST_F(request_history, survives_the_reclaim_of_an_entry_host)
{
    run(callers, tokens,
        [this]
        {
            reclaim("host", "entry-a", 2000);
            absl::SleepFor(absl::Seconds(2));
            kill_entry("a");
        });
    check_all_whole();
    check_nothing_cut();
    EXPECT_GT(moves(), 0);
}

TEST_F(request_history, survives_the_reclaim_of_a_whole_hall)
{
    run(callers, tokens,
        [this]
        {
            reclaim("hall", "a", 2000);
            absl::SleepFor(absl::Seconds(2));
            kill_entry("a");
            kill_engine("a");
        });
    check_all_whole();
    check_nothing_cut();
}

TEST_F(request_history, survives_a_second_reclaim_right_after_the_first)
{
    run(callers, tokens,
        [this]
        {
            reclaim("hall", "a", 1500);
            absl::SleepFor(absl::Milliseconds(500));
            reclaim("hall", "b", 1500);
            absl::SleepFor(absl::Seconds(1));
            kill_entry("a");
            kill_engine("a");
            absl::SleepFor(absl::Milliseconds(500));
            kill_entry("b");
            kill_engine("b");
        });
    check_all_whole();
}

TEST_F(request_history, survives_a_host_that_dies_half_way_through_its_handoff)
{
    run(callers, tokens,
        [this]
        {
            reclaim("hall", "a", 2000);
            absl::SleepFor(absl::Milliseconds(550));
            kill_entry("a");
        });
    check_all_whole();
}

TEST_F(request_history, survives_an_entry_host_that_freezes)
{
    run(callers, tokens,
        [this]
        {
            auto& frozen = *m_fleet.host("entry-a").process;
            frozen.send(SIGSTOP);
            test::wait_until(
                [this]
                { return m_fleet.state_of("entry-b", "entry-a") == "dead"; },
                "the frozen host is held for dead");
            frozen.send(SIGCONT);
        });
    check_all_whole();
}

TEST_F(request_history, serves_in_a_hall_that_is_cut_off_and_joins_again)
{
    m_fleet.set_cut("entry-a", "entry-b", true);
    m_fleet.set_cut("entry-a", "entry-c", true);
    test::wait_until(
        [this] { return m_fleet.state_of("entry-b", "entry-a") == "dead"; },
        "the hall is held for lost");
    m_fleet.set_platform_fault("log", {{"down", true}});
    run(callers, 10, [] {});
    check_all_whole();
    m_fleet.set_platform_fault("log", {{"down", false}});
    m_fleet.set_cut("entry-a", "entry-b", false);
    m_fleet.set_cut("entry-a", "entry-c", false);
    test::wait_until(
        [this]
        {
            return m_fleet.state_of("entry-b", "entry-a") == "alive" &&
                   m_fleet.state_of("entry-a", "entry-c") == "alive";
        },
        "the hall has joined again");
}

TEST_F(request_history, survives_the_loss_of_an_owner_during_a_one_way_cut)
{
    run(callers, tokens,
        [this]
        {
            (void)m_fleet.operate(
                "entry-a", "POST", "/apis/v1/faults",
                R"({"address":"*","direction":"incoming","cut":true})");
            absl::SleepFor(absl::Milliseconds(200));
            kill_entry("a");
        });
    check_all_whole();
}

TEST_F(request_history, sends_nothing_new_to_a_leaving_upstream_after_a_pause)
{
    // Nobody tells it: it has to find out by itself, and the platform is slow.
    (void)m_fleet.operate(
        "entry-b", "POST", "/apis/v1/faults",
        R"({"address":"*","direction":"incoming","cut":true})");
    auto& paused = *m_fleet.host("entry-b").process;
    paused.send(SIGSTOP);
    reclaim("host", "engine-a", 600000);
    test::wait_until(
        [this]
        {
            const auto answer =
                m_fleet.operate("entry-c", "GET", "/apis/v1/hosts");
            const auto body = parse_object(answer.body);
            return !find_array(body, "leaving")->empty();
        },
        "the others know that the upstream is leaving");
    m_fleet.set_platform_fault("cloud", {{"slow_ms", 300}});
    // The paused host's last reading of the notices is old by now.
    absl::SleepFor(absl::Seconds(2));
    const auto before = received("engine-a");
    // These wait in the kernel, to be read in the first moment after the
    // pause, before any notice.
    constexpr int waiting_callers = 24;
    std::vector<std::thread> threads;
    threads.reserve(waiting_callers);
    for (int i = 0; i < waiting_callers; ++i)
    {
        threads.emplace_back(
            [this, i]
            {
                caller_request request;
                request.prompt = "after the pause " + std::to_string(i);
                request.max_tokens = 2;
                test::test_caller caller(m_fleet.client(),
                                         {m_fleet.host("entry-b").callers_url});
                EXPECT_TRUE(caller.complete(request).is_complete);
            });
    }
    absl::SleepFor(absl::Milliseconds(500));
    paused.send(SIGCONT);
    for (auto& thread : threads)
    {
        thread.join();
    }
    EXPECT_EQ(before, received("engine-a"));
}

TEST_F(request_history, cuts_off_nothing_at_a_planned_stop)
{
    run(callers, tokens,
        [this]
        {
            auto& host = *m_fleet.host("entry-a").process;
            host.send(SIGTERM);
            EXPECT_EQ(0, host.wait());
        });
    check_all_whole();
    check_nothing_cut();
}

TEST_F(request_history, runs_at_most_once_what_may_not_be_repeated)
{
    run(
        callers, tokens,
        [this]
        {
            kill_engine("a");
            kill_entry("b");
        },
        false);
    // Whatever became of a request, no two engines were asked to run it, and
    // what is said not to have run was asked of none.
    std::map<std::string, int> runs;
    for (const std::string hall : {"b", "c"})
    {
        const auto answer = m_fleet.send(
            "GET", m_fleet.standin("engine-" + hall).url + "/standin/received");
        const auto body = parse_object(answer.body);
        for (const auto& entry : *find_array(body, "received"))
        {
            ++runs[require_string(entry.as_object(), "request")];
        }
    }
    for (const auto& [id, count] : runs)
    {
        EXPECT_EQ(1, count) << id;
    }
    int complete = 0;
    for (const auto& [request, outcome] : m_finished)
    {
        if (outcome.is_complete)
        {
            ++complete;
            EXPECT_EQ(
                test::expected_answer("m", request.prompt, request.max_tokens),
                outcome.text);
            continue;
        }
        if (outcome.verdict == "not_run")
        {
            EXPECT_FALSE(runs.contains(outcome.request_id));
        }
    }
    EXPECT_GT(complete, 0);
}

} // namespace
} // namespace daleshelf
