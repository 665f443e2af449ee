// Fetching of records from peers. The peers are scripted: they respond as
// topic_sharing does, or not at all.
#include "gateway_fixture.hpp"

#include <base/text.hpp>
#include <gateway/topic_sharing.hpp>

namespace daleshelf
{
namespace
{

const std::string topic(platform::server_topic);

shared_record record_at(std::int64_t offset, const std::string& key)
{
    return {log_offset(offset), key, "value"};
}

std::string response_with(const shared_records& records)
{
    const auto body = encode(records);
    return concat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(),
                  "\r\n\r\n", body);
}

/// A host of a hall of ten whose peers all have the address of one script.
class topic_sharing_test : public testing::Test
{
protected:
    topic_sharing_test()
        : m_peer([this](test_connection& connection) { respond(connection); })
        , m_store([](test_connection& connection) { connection.read_all(); })
        , m_state(m_context, make_settings())
        , m_configuration(m_state, "other", no_callbacks())
        , m_servers(m_state, topic, no_callbacks())
        , m_table({host_id("self"), "127.0.0.1:2", hall_id("here")},
                  incarnation(1), peer_options())
        , m_sharing(m_state, {m_configuration, m_servers}, m_table,
                    [this](const std::string& address, const std::string&)
                    { m_sent_to.push_back(address); })
    {
        m_state.has_listed_hosts = true;
        for (int number = 0; number < 10; ++number)
        {
            m_table.add_address({host_id("peer-" + std::to_string(number)),
                                 concat(m_peer.address()), hall_id("here")},
                                gateway_state::now());
        }
    }

    static topic_callbacks no_callbacks()
    {
        return {[](const auto&) {}, [](const auto&) {},
                [](log_offset, const auto&) {}};
    }

    gateway_settings make_settings() const
    {
        gateway_settings settings;
        settings.host_id = "self";
        settings.host_hall = "here";
        settings.store_address = m_store.address();
        return settings;
    }

    void respond(test_connection& connection)
    {
        const auto request = connection.read_message();
        {
            const std::lock_guard guard(m_mutex);
            m_targets.push_back(request.substr(0, request.find(" HTTP")));
        }
        connection.send(m_response);
    }

    /// @return whether nothing is missing after the host has caught up
    bool catch_up()
    {
        std::optional<bool> result;
        asio::co_spawn(
            m_context, [this] { return m_sharing.catch_up(topic); },
            [&](const std::exception_ptr&, bool has_caught_up)
            { result = has_caught_up; });
        while (!result)
        {
            m_context.run_one();
        }
        return *result;
    }

    std::mutex m_mutex;
    std::vector<std::string> m_targets;
    std::string m_response;
    scripted_server m_peer;
    scripted_server m_store;
    asio::io_context m_context{1};
    gateway_state m_state;
    topic_follower m_configuration;
    topic_follower m_servers;
    peer_table m_table;
    std::vector<std::string> m_sent_to;
    topic_sharing m_sharing;
};

TEST_F(topic_sharing_test, a_starting_host_fetches_all_records_from_a_peer)
{
    m_response = response_with({topic,
                                log_offset(0),
                                log_offset(5),
                                {record_at(3, "a"), record_at(4, "b")},
                                {}});
    EXPECT_TRUE(catch_up());
    EXPECT_EQ(m_servers.records().size(), 2U);
    EXPECT_EQ(m_servers.next(), log_offset(5));
    EXPECT_EQ(m_targets, std::vector<std::string>{"GET /records/" + topic});
    EXPECT_EQ(m_store.connections(), 0);
}

TEST_F(topic_sharing_test, a_host_fetches_only_the_records_that_it_lacks)
{
    m_servers.merge({}, log_offset(5));
    m_servers.apply_shared_records(log_offset(6), {}, monotonic::now());
    ASSERT_TRUE(m_servers.has_gap());
    m_response = response_with(
        {topic, log_offset(5), log_offset(6), {record_at(5, "c")}, {}});
    EXPECT_TRUE(catch_up());
    EXPECT_TRUE(m_servers.records().contains("c"));
    EXPECT_EQ(m_targets,
              std::vector<std::string>{"GET /records/" + topic + "/5"});
}

TEST_F(topic_sharing_test, responds_with_the_records_that_a_peer_lacks)
{
    EXPECT_EQ(m_sharing.respond("/records/" + topic).status, 404);
    m_servers.merge({}, log_offset(5));
    m_servers.append(log_offset(5), {{log_offset(5), "a", "1"},
                                     {log_offset(6), "a", std::nullopt}});
    const auto newest = decode_shared_records(
        m_sharing.respond("/records/" + topic + "/6").body);
    ASSERT_TRUE(newest);
    EXPECT_EQ(newest->from, log_offset(6));
    ASSERT_EQ(newest->records.size(), 1U);
    // The list replaced older records: those before it are not kept.
    const auto full = decode_shared_records(
        m_sharing.respond("/records/" + topic + "/4").body);
    ASSERT_TRUE(full);
    EXPECT_EQ(full->from, log_offset(0));
    EXPECT_EQ(m_sharing.respond("/records/" + topic + "/x").status, 404);
    EXPECT_EQ(m_sharing.respond("/other").status, 404);
}

// Guards against keeping thousands of whole configurations for peers, which
// took all hosts over their memory limit at the same time.
TEST_F(topic_sharing_test,
       a_peer_that_lacks_many_large_records_gets_a_full_copy)
{
    constexpr int record_count = 100;
    const std::string configuration(250000, 'x');
    log_offset next(5);
    m_servers.merge({}, next);
    for (int number = 0; number < record_count; ++number)
    {
        m_servers.append(next, {{next, "a", configuration}});
        next = next.next();
    }
    const auto read = decode_shared_records(
        m_sharing.respond("/records/" + topic + "/6").body);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->from, log_offset(0));
    EXPECT_EQ(read->next, next);
    EXPECT_EQ(read->records.size(), 1U);
}

TEST_F(topic_sharing_test, forwards_a_part_of_a_root_once)
{
    const shared_records part{topic,
                              log_offset(5),
                              log_offset(6),
                              {record_at(5, "c")},
                              host_id("peer-0")};
    const auto bytes = encode(part);
    m_sharing.receive_records(part, bytes);
    const auto forwards = m_sent_to.size();
    EXPECT_LE(forwards, relay_fanout);
    m_sharing.receive_records(part, bytes);
    EXPECT_EQ(m_sent_to.size(), forwards);
}

} // namespace
} // namespace daleshelf
