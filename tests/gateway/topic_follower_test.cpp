#include "gateway_fixture.hpp"

#include <gtest/gtest.h>

#include <base/text.hpp>
#include <gateway/topic_follower.hpp>

namespace daleshelf
{
namespace
{

gateway_settings make_settings()
{
    gateway_settings settings;
    settings.host_id = "gateway";
    settings.host_hall = "here";
    settings.store_address = "127.0.0.1:1";
    return settings;
}

platform::keyed_record record_at(std::int64_t offset, const std::string& key,
                                 std::optional<std::string> value)
{
    return {log_offset(offset), key, std::move(value)};
}

monotonic::time_point at(int ms)
{
    return monotonic::time_point(milliseconds(100000 + ms));
}

/// A follower that receives records from peers; it never calls the store.
class topic_follower_test : public testing::Test
{
protected:
    topic_follower_test()
        : m_state(m_context, make_settings())
        , m_follower(m_state, "topic",
                     {[this](const auto& record)
                      { m_applied.push_back(record.key); },
                      [](const auto&) {}})
    {
        m_follower.merge({record_at(3, "a", "1")}, log_offset(4));
        m_applied.clear();
    }

    asio::io_context m_context{1};
    gateway_state m_state;
    std::vector<std::string> m_applied;
    topic_follower m_follower;
};

// An upstream that leaves must get no new requests two seconds after its
// notice, so a call that hangs has to time out before that.
TEST_F(topic_follower_test, a_call_that_hangs_is_given_up_within_the_drain_time)
{
    constexpr milliseconds drain_time{2000};
    EXPECT_LT(topic_follower::tail_wait + topic_follower::tail_response_margin,
              drain_time - milliseconds(300));
}

TEST_F(topic_follower_test, takes_what_follows_on_what_it_knows)
{
    m_follower.apply_shared_records(
        log_offset(4),
        {record_at(4, "b", "2"), record_at(5, "a", std::nullopt)}, at(0));
    EXPECT_EQ(m_applied, (std::vector<std::string>{"b", "a"}));
    EXPECT_EQ(m_follower.next(), log_offset(6));
    EXPECT_FALSE(m_follower.records().contains("a"));
}

TEST_F(topic_follower_test, takes_only_the_newer_part_of_what_overlaps)
{
    m_follower.apply_shared_records(
        log_offset(3), {record_at(3, "a", "1"), record_at(4, "b", "2")}, at(0));
    EXPECT_EQ(m_applied, std::vector<std::string>{"b"});
    EXPECT_EQ(m_follower.next(), log_offset(5));
}

TEST_F(topic_follower_test, takes_nothing_after_a_gap)
{
    m_follower.apply_shared_records(log_offset(5), {record_at(5, "b", "2")},
                                    at(0));
    EXPECT_TRUE(m_applied.empty());
    EXPECT_EQ(m_follower.next(), log_offset(4));
}

// Two readers send the same records, four times a second together, so that a
// lost or reordered datagram does not make 285 hosts call the store. Only a gap
// that lasts does.
TEST_F(topic_follower_test, calls_the_store_when_later_reports_leave_a_gap)
{
    EXPECT_FALSE(m_follower.apply_shared_records(log_offset(6), {}, at(0)));
    EXPECT_FALSE(m_follower.apply_shared_records(log_offset(6), {}, at(200)));
    EXPECT_TRUE(m_follower.apply_shared_records(log_offset(6), {}, at(300)));
    // The store is called once for each gap that lasts.
    EXPECT_FALSE(m_follower.apply_shared_records(log_offset(6), {}, at(400)));
    EXPECT_TRUE(m_follower.apply_shared_records(log_offset(6), {}, at(700)));
}

TEST_F(topic_follower_test,
       does_not_ask_the_store_for_what_comes_a_little_later)
{
    EXPECT_FALSE(m_follower.apply_shared_records(
        log_offset(5), {record_at(5, "c", "3")}, at(0)));
    EXPECT_FALSE(m_follower.apply_shared_records(
        log_offset(4), {record_at(4, "b", "2"), record_at(5, "c", "3")},
        at(200)));
    EXPECT_EQ(m_follower.next(), log_offset(6));
    EXPECT_FALSE(m_follower.apply_shared_records(log_offset(7), {}, at(900)));
}

// Guards against serving from a stale configuration: 2 of 86 hosts used one
// that had been replaced 3.1 s before. A reader that lagged behind reported
// that there was nothing newer, while another announced more records. Hosts
// that lagged as far accepted that report, and each such report restarted the
// gap's timeout.
TEST_F(topic_follower_test, a_report_of_a_lagging_reader_does_not_close_a_gap)
{
    EXPECT_FALSE(m_follower.apply_shared_records(log_offset(6), {}, at(0)));
    const auto complete_as_of = m_follower.complete_as_of();
    EXPECT_FALSE(m_follower.apply_shared_records(log_offset(4), {}, at(150)));
    EXPECT_TRUE(m_follower.apply_shared_records(log_offset(6), {}, at(300)));
    EXPECT_FALSE(m_follower.apply_shared_records(log_offset(4), {}, at(400)));
    EXPECT_EQ(m_follower.complete_as_of(), complete_as_of);
    m_follower.apply_shared_records(
        log_offset(4), {record_at(4, "b", "2"), record_at(5, "a", "3")},
        at(500));
    EXPECT_GT(m_follower.complete_as_of(), complete_as_of);
}

/// A running follower and a store that counts connections but never responds.
class running_follower_test : public testing::Test
{
protected:
    running_follower_test()
        : m_store([](test_connection& connection) { connection.read_all(); })
        , m_state(m_context, settings_for(m_store))
        , m_follower(m_state, "topic",
                     {[](const auto&) {}, [](const auto&) {},
                      [](log_offset, const auto&) {}})
    {
        m_follower.merge({record_at(3, "a", "1")}, log_offset(4));
        asio::co_spawn(
            m_context, [this] { return m_follower.run(); }, asio::detached);
    }

    static gateway_settings settings_for(const scripted_server& store)
    {
        auto settings = make_settings();
        settings.store_address = store.address();
        return settings;
    }

    bool calls_the_store()
    {
        for (int step = 0; step < 2000 && m_store.connections() == 0; ++step)
        {
            m_context.run_for(milliseconds(10));
        }
        return m_store.connections() > 0;
    }

    scripted_server m_store;
    asio::io_context m_context{1};
    gateway_state m_state;
    topic_follower m_follower;
};

TEST_F(running_follower_test, asks_the_store_only_when_it_knows_its_role)
{
    m_context.run_for(milliseconds(250));
    EXPECT_EQ(m_store.connections(), 0);
    m_state.role = list_role::alone;
    EXPECT_TRUE(calls_the_store());
}

// Guards against a reader whose calls to the store hang silently, but which
// still reports to its hall, at each retry, that there are no newer records.
TEST_F(running_follower_test, is_not_fresh_again_before_the_store_has_answered)
{
    m_state.role = list_role::reader;
    for (int step = 0; step < 2000 && m_store.connections() < 2; ++step)
    {
        m_context.run_for(milliseconds(10));
    }
    ASSERT_GE(m_store.connections(), 2) << "it asks again";
    EXPECT_FALSE(m_follower.is_fresh());
    EXPECT_FALSE(m_follower.is_store_reachable());
}

// Guards against long polls that hang. The store dropped the calls of a hall's
// readers silently, so that these reported nothing and the other hosts called
// the store themselves. Some of their long polls hung too, with a timeout of
// 20.7 s: such a host missed upstreams that left, told its peers that it
// reached the store, and was selected as a reader of its hall. Two log lines of
// the hall:
//
// wait_given_up topic=keyed.servers waited_ms=4955 role=reader
//
// wait_given_up topic=keyed.op waited_ms=7889 role=follower
TEST_F(running_follower_test,
       times_out_a_call_that_hangs_when_no_reader_reports)
{
    m_state.role = list_role::follower;
    ASSERT_TRUE(calls_the_store());
    const auto requested_at = monotonic::now();
    constexpr milliseconds retry_timeout{10000};
    while (m_store.connections() < 2 &&
           monotonic::now() - requested_at < retry_timeout)
    {
        m_context.run_for(milliseconds(10));
    }
    EXPECT_GE(m_store.connections(), 2) << "it asks again";
    EXPECT_FALSE(m_follower.is_store_reachable());
}

// What cannot be confirmed is rejected at once, not after a timeout.
TEST_F(running_follower_test, confirms_nothing_while_its_calls_time_out)
{
    m_state.role = list_role::alone;
    for (int step = 0; step < 2000 && m_store.connections() < 3; ++step)
    {
        m_context.run_for(milliseconds(10));
    }
    ASSERT_GE(m_store.connections(), 3) << "two calls have failed";
    std::optional<bool> is_confirmed;
    asio::co_spawn(
        m_context, [this] { return m_follower.confirm(); },
        [&](const std::exception_ptr&, bool result) { is_confirmed = result; });
    m_context.run_for(milliseconds(20));
    EXPECT_EQ(is_confirmed, false);
    EXPECT_EQ(m_store.connections(), 3);
}

TEST_F(running_follower_test, does_not_call_the_store_while_readers_report)
{
    m_state.role = list_role::follower;
    EXPECT_FALSE(m_follower.is_store_reachable());
    m_follower.apply_shared_records(log_offset(4), {}, monotonic::now());
    m_context.run_for(milliseconds(250));
    EXPECT_EQ(m_store.connections(), 0);
    // The readers have stopped reporting.
    EXPECT_TRUE(calls_the_store());
}

/// A store whose long polls get no response, with one record at offset 4.
class silent_poll_store
{
public:
    scripted_server::script serve()
    {
        return [this](test_connection& connection)
        {
            while (true)
            {
                const auto request = connection.read_message();
                const bool is_long_poll =
                    request.find("waitMs=0") == std::string::npos;
                if (request.empty() || is_long_poll || is_silent)
                {
                    connection.read_all();
                    return;
                }
                connection.send(concat("HTTP/1.1 200 OK\r\nContent-Length: ",
                                       page().size(), "\r\n\r\n", page()));
            }
        };
    }

    std::atomic<bool> is_silent = false;

private:
    // The end and the first offset, then the length, key and value of a record.
    static std::string page()
    {
        const std::string zeros(7, '\0');
        return zeros + '\x05' + zeros + '\x04' + std::string(3, '\0') +
               "\x03\x01" + "b2";
    }
};

// Guards against a host that takes its list for complete while its long poll
// hangs: it resumed streams at a version that had ceased to be the only one.
TEST(topic_follower_confirmation, reads_what_a_silent_long_poll_lacks)
{
    silent_poll_store partition;
    scripted_server store(partition.serve());
    asio::io_context context{1};
    auto settings = make_settings();
    settings.store_address = store.address();
    gateway_state state(context, settings);
    state.role = list_role::alone;
    topic_follower follower(state, "topic",
                            {[](const auto&) {}, [](const auto&) {}});
    follower.merge({record_at(3, "a", "1")}, log_offset(4));
    asio::co_spawn(
        context, [&] { return follower.run(); }, asio::detached);
    context.run_for(milliseconds(50));
    EXPECT_TRUE(follower.is_store_reachable());
    EXPECT_FALSE(follower.records().contains("b"));
    std::optional<bool> is_confirmed;
    const auto confirm = [&]
    {
        is_confirmed.reset();
        asio::co_spawn(
            context, [&] { return follower.confirm(); },
            [&](const std::exception_ptr&, bool result)
            { is_confirmed = result; });
        while (!is_confirmed)
        {
            context.run_one();
        }
    };
    const auto before = monotonic::now();
    confirm();
    EXPECT_EQ(is_confirmed, true);
    EXPECT_TRUE(follower.records().contains("b"));
    EXPECT_GE(follower.complete_as_of(), before);
    partition.is_silent = true;
    confirm();
    EXPECT_EQ(is_confirmed, false);
}

// Guards against hundreds of hosts that call the store because of a lost
// datagram: the store became too slow for the readers as well.
TEST(topic_follower_gap, is_filled_by_peers_before_the_store_is_called)
{
    scripted_server store([](test_connection& connection)
                          { connection.read_all(); });
    asio::io_context context{1};
    auto settings = make_settings();
    settings.store_address = store.address();
    gateway_state state(context, settings);
    state.role = list_role::follower;
    int calls = 0;
    bool is_successful = true;
    topic_follower* filled = nullptr;
    topic_callbacks callbacks{[](const auto&) {}, [](const auto&) {},
                              [](log_offset, const auto&) {}};
    callbacks.catch_up = [&]() -> awaitable<bool>
    {
        ++calls;
        if (is_successful)
        {
            const auto next = filled->next();
            filled->append(next, {record_at(next.value(), "b", "2"),
                                  record_at(next.value() + 1, "c", "3")});
        }
        co_return is_successful;
    };
    topic_follower follower(state, "topic", callbacks);
    filled = &follower;
    follower.merge({record_at(3, "a", "1")}, log_offset(4));
    follower.apply_shared_records(log_offset(4), {}, monotonic::now());
    asio::co_spawn(
        context, [&] { return follower.run(); }, asio::detached);
    context.poll();
    ASSERT_EQ(calls, 1) << "at the start";
    EXPECT_EQ(follower.next(), log_offset(6));
    const auto report_gap = [&](std::int64_t end)
    {
        const auto now = monotonic::now();
        follower.apply_shared_records(log_offset(end), {}, now);
        follower.apply_shared_records(log_offset(end), {},
                                      now + milliseconds(300));
    };
    report_gap(8);
    context.run_for(milliseconds(50));
    EXPECT_EQ(calls, 2);
    EXPECT_FALSE(follower.has_gap());
    EXPECT_EQ(store.connections(), 0);
    is_successful = false;
    report_gap(10);
    for (int step = 0; step < 2000 && store.connections() == 0; ++step)
    {
        context.run_for(milliseconds(10));
    }
    EXPECT_EQ(calls, 3);
    EXPECT_GT(store.connections(), 0);
}

// Guards against one unreadable record of another writer that stops the
// follower of its topic.
TEST_F(topic_follower_test, goes_on_past_a_record_that_cannot_be_read)
{
    m_follower.apply_shared_records(
        log_offset(4), {record_at(4, "", std::nullopt), record_at(5, "b", "2")},
        at(0));
    EXPECT_EQ(m_applied, std::vector<std::string>{"b"});
    EXPECT_EQ(m_follower.next(), log_offset(6));
    EXPECT_EQ(m_state.skipped.total(), 1);
}

TEST_F(topic_follower_test, a_report_of_no_newer_records_changes_nothing)
{
    EXPECT_FALSE(m_follower.apply_shared_records(log_offset(4), {}, at(0)));
    EXPECT_TRUE(m_applied.empty());
    EXPECT_EQ(m_follower.next(), log_offset(4));
}

TEST_F(topic_follower_test, takes_nothing_older)
{
    m_follower.apply_shared_records(log_offset(1), {record_at(1, "z", "0")},
                                    at(0));
    EXPECT_TRUE(m_applied.empty());
    EXPECT_EQ(m_follower.next(), log_offset(4));
}

TEST_F(topic_follower_test, an_older_list_of_a_peer_changes_nothing)
{
    EXPECT_EQ(m_follower.merge({record_at(2, "z", "0")}, log_offset(3)), 0U);
    EXPECT_TRUE(m_applied.empty());
    EXPECT_TRUE(m_follower.records().contains("a"));
}

} // namespace
} // namespace daleshelf
