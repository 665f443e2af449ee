#include <absl/synchronization/mutex.h>
#include <gtest/gtest.h>

#include <base/json.hpp>
#include <csignal>
#include <map>
#include <random>
#include <set>
#include <tests/support/fleet.hpp>
#include <tests/support/waiting.hpp>
#include <thread>

namespace daleshelf
{
namespace
{

using test::fleet;

/// What one writer has been told of one change.
struct written_change
{
    std::string id;
    std::string host;
    std::string name;
    std::int64_t expected = 0;
};

/// What one reader saw.
struct reading
{
    std::string host;
    std::string name;
    std::int64_t version = 0;
};

/// Collects what concurrent operators did and saw.
class configuration_history
{
public:
    void add(written_change entry)
    {
        absl::MutexLock lock(&m_mutex);
        m_changes.push_back(std::move(entry));
    }

    /// Reads of one thread at one host come in order.
    void add(const reading& entry)
    {
        absl::MutexLock lock(&m_mutex);
        auto& highest = m_highest[entry.host + "/" + entry.name];
        EXPECT_GE(entry.version, highest)
            << entry.name << " went back on " << entry.host;
        highest = std::max(highest, entry.version);
    }

    std::vector<written_change> changes()
    {
        absl::MutexLock lock(&m_mutex);
        return m_changes;
    }

private:
    absl::Mutex m_mutex;
    std::vector<written_change> m_changes ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::int64_t> m_highest ABSL_GUARDED_BY(m_mutex);
};

class configuration_race : public testing::Test
{
protected:
    configuration_race()
    {
        m_fleet.start_platform();
        m_fleet.start_halls({"a", "b", "c"});
    }

    /// One writer: reads a version, then writes the next with it.
    void write(int number, int rounds)
    {
        std::mt19937 random(static_cast<unsigned int>(number));
        const std::vector<std::string> hosts{"entry-a", "entry-b", "entry-c"};
        const auto& reader = hosts[static_cast<std::size_t>(number) % 3];
        for (int round = 0; round < rounds; ++round)
        {
            const auto name = "m" + std::to_string(random() % 3);
            const auto& writer = hosts[random() % hosts.size()];
            try
            {
                write_once(number, round, name, reader, writer);
            }
            catch (const std::exception&)
            {
                // A host that is frozen or gone answers nothing; the change
                // is settled in the end all the same.
            }
        }
    }

    void write_once(int number, int round, const std::string& name,
                    const std::string& reader, const std::string& writer)
    {
        const auto seen =
            m_fleet.operate(reader, "GET", "/apis/v1/resources/model/" + name);
        std::int64_t version = 0;
        if (seen.status == 200)
        {
            version = require_integer(parse_object(seen.body), "version");
            m_history.add(
                reading{reader + "#" + std::to_string(number), name, version});
        }
        const auto id =
            "w" + std::to_string(number) + "-" + std::to_string(round);
        m_history.add(written_change{id, writer, name, version});
        auto resource = test::make_resource("model", name, {{"weights", id}});
        resource["expected_version"] = version;
        (void)m_fleet.operate(
            writer, "POST", "/apis/v1/changes",
            boost::json::serialize(boost::json::object{
                {"id", id},
                {"operations", boost::json::array{std::move(resource)}}}));
    }

    void run_writers(int writers, int rounds)
    {
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(writers));
        for (int i = 0; i < writers; ++i)
        {
            threads.emplace_back([this, i, rounds] { write(i, rounds); });
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
    }

    boost::json::object outcome(const std::string& host, const std::string& id)
    {
        const auto answer =
            m_fleet.operate(host, "GET", "/apis/v1/changes/" + id);
        return answer.status == 200 ? parse_object(answer.body)
                                    : boost::json::object();
    }

    /// Every change that some host knows has one final outcome on all; the
    /// accepted ones of a resource count its versions up without a gap.
    void check_all_settled()
    {
        for (const auto* host : {"entry-a", "entry-b", "entry-c"})
        {
            m_fleet.wait_until_current(host);
        }
        std::map<std::string, std::set<std::int64_t>> accepted;
        std::size_t known = 0;
        for (const auto& entry : m_history.changes())
        {
            if (outcome("entry-a", entry.id).empty() &&
                outcome(entry.host, entry.id).empty())
            {
                continue; // its host died before it could append it
            }
            ++known;
            test::wait_until(
                [&]
                {
                    const auto seen = outcome("entry-a", entry.id);
                    return !seen.empty() &&
                           require_string(seen, "state") != "pending";
                },
                entry.id + " is settled");
            const auto settled = outcome("entry-a", entry.id);
            m_fleet.wait_until_current("entry-b");
            m_fleet.wait_until_current("entry-c");
            EXPECT_EQ(settled, outcome("entry-b", entry.id));
            EXPECT_EQ(settled, outcome("entry-c", entry.id));
            if (require_string(settled, "state") == "accepted")
            {
                // Compare-and-set: two accepted changes never saw the same.
                EXPECT_TRUE(accepted[entry.name].insert(entry.expected).second)
                    << "lost update of " << entry.name;
            }
        }
        EXPECT_GT(known, 0U);
        for (const auto& [name, versions] : accepted)
        {
            const auto answer = m_fleet.operate(
                "entry-a", "GET", "/apis/v1/resources/model/" + name);
            EXPECT_EQ(static_cast<std::int64_t>(versions.size()),
                      require_integer(parse_object(answer.body), "version"));
            EXPECT_EQ(static_cast<std::int64_t>(versions.size()) - 1,
                      *versions.rbegin());
        }
    }

    fleet m_fleet;
    configuration_history m_history;
};

TEST_F(configuration_race, has_one_order_when_answers_are_lost)
{
    m_fleet.set_platform_fault("log", {{"lose_answers", 10}});
    run_writers(6, 8);
    check_all_settled();
}

TEST_F(configuration_race, has_one_order_through_an_outage_of_the_log)
{
    std::thread outage(
        [this]
        {
            for (int i = 0; i < 3; ++i)
            {
                m_fleet.set_platform_fault("log", {{"down", true}});
                absl::SleepFor(absl::Milliseconds(300));
                m_fleet.set_platform_fault(
                    "log", {{"down", false}, {"lose_answers", 2}});
                absl::SleepFor(absl::Milliseconds(200));
            }
        });
    run_writers(6, 6);
    outage.join();
    check_all_settled();
}

TEST_F(configuration_race, has_one_order_when_hosts_freeze_and_die)
{
    std::thread faults(
        [this]
        {
            auto& frozen = *m_fleet.host("entry-b").process;
            frozen.send(SIGSTOP);
            absl::SleepFor(absl::Seconds(1));
            frozen.send(SIGCONT);
            m_fleet.host("entry-c").process->send(SIGKILL);
        });
    run_writers(6, 6);
    faults.join();
    m_fleet.restart_host("entry-c");
    check_all_settled();
}

TEST_F(configuration_race, reaches_a_hall_that_is_cut_off_from_the_platform)
{
    // The platform hangs for all; only what was read before is known, and
    // peers give it to a host that starts now.
    m_fleet.apply("entry-a",
                  {test::make_resource("model", "m0", {{"weights", "w"}})});
    m_fleet.wait_until_current("entry-b");
    m_fleet.wait_until_current("entry-c");
    m_fleet.set_platform_fault("log", {{"down", true}});
    m_fleet.host("entry-c").process->send(SIGKILL);
    m_fleet.host("entry-c").process->wait();
    m_fleet.restart_host("entry-c");
    test::wait_until(
        [this]
        {
            const auto seen = m_fleet.operate("entry-c", "GET",
                                              "/apis/v1/resources/model/m0");
            const auto ready = m_fleet.send(
                "GET", m_fleet.host("entry-c").callers_url + "/readyz");
            return seen.status == 200 && ready.status == 200;
        },
        "the new host has the configuration from its peers");
}

TEST_F(configuration_race, catches_up_when_records_were_trimmed_while_frozen)
{
    auto& frozen = *m_fleet.host("entry-c").process;
    frozen.send(SIGSTOP);
    for (int i = 0; i < 12; ++i)
    {
        m_fleet.apply("entry-a",
                      {test::make_resource("model", "m0", {{"weights", "w"}})});
    }
    (void)m_fleet.send("POST",
                       m_fleet.platform_url() +
                           "/log/daleshelf-configuration/retention",
                       R"({"first":11})");
    frozen.send(SIGCONT);
    m_fleet.wait_until_current("entry-c");
    const auto seen =
        m_fleet.operate("entry-c", "GET", "/apis/v1/resources/model/m0");
    EXPECT_EQ(12, require_integer(parse_object(seen.body), "version"));
}

TEST_F(configuration_race, is_whole_after_all_hosts_were_replaced_at_once)
{
    m_fleet.apply("entry-a",
                  {test::make_resource("model", "m0", {{"weights", "w"}})});
    for (const auto* host : {"entry-a", "entry-b", "entry-c"})
    {
        m_fleet.host(host).process->send(SIGKILL);
        m_fleet.host(host).process->wait();
    }
    for (const auto* host : {"entry-a", "entry-b", "entry-c"})
    {
        m_fleet.restart_host(host);
        m_fleet.wait_until_current(host);
        const auto seen =
            m_fleet.operate(host, "GET", "/apis/v1/resources/model/m0");
        EXPECT_EQ(200, seen.status);
    }
}

TEST_F(configuration_race, keeps_what_it_has_when_the_log_is_restored_older)
{
    for (int i = 0; i < 5; ++i)
    {
        m_fleet.apply("entry-a",
                      {test::make_resource("model", "m0", {{"weights", "w"}})});
    }
    m_fleet.wait_until_current("entry-b");
    (void)m_fleet.send("POST",
                       m_fleet.platform_url() +
                           "/log/daleshelf-configuration/retention",
                       R"({"next":2})");
    const auto pending = m_fleet.operate(
        "entry-b", "POST", "/apis/v1/changes",
        R"({"id":"late","operations":[{"kind":"model","name":"m1",)"
        R"("body":{"weights":"w"}}]})");
    EXPECT_EQ(202, pending.status) << "it must not be called accepted";
    const auto seen =
        m_fleet.operate("entry-b", "GET", "/apis/v1/resources/model/m0");
    EXPECT_EQ(5, require_integer(parse_object(seen.body), "version"));
}

TEST_F(configuration_race, tells_on_which_hosts_a_change_is_in_force)
{
    m_fleet.apply("entry-a",
                  {test::make_resource("model", "m0", {{"weights", "w"}})});
    const auto change = R"({"id":"here","operations":[)"
                        R"({"kind":"model","name":"m1","body":)"
                        R"({"weights":"w"}}]})";
    const auto accepted =
        m_fleet.operate("entry-a", "POST", "/apis/v1/changes", change);
    EXPECT_EQ(200, accepted.status);
    const auto answer = m_fleet.operate(
        "entry-a", "GET", "/apis/v1/changes/here/wait?timeout_ms=20000");
    const auto body = parse_object(answer.body);
    EXPECT_EQ(3U, find_array(body, "in_force")->size()) << answer.body;
    EXPECT_TRUE(find_array(body, "missing")->empty());
}

} // namespace
} // namespace daleshelf
