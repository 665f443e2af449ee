/// @file
/// Follower of a topic that the store lists in pages or with invalid records.

#include "gateway_fixture.hpp"

#include <gtest/gtest.h>

#include <base/text.hpp>
#include <gateway/topic_follower.hpp>

namespace daleshelf
{
namespace
{

/// A follower with its own scripted store.
struct followed_store
{
    explicit followed_store(scripted_server::script serve)
        : store(std::move(serve))
        , state(context, settings_for(store))
        , follower(state, "topic", {[](const auto&) {}, [](const auto&) {}})
    {
        state.role = list_role::alone;
        asio::co_spawn(
            context, [this] { return follower.run(); }, asio::detached);
    }

    /// @param holds condition to wait for
    /// @return whether the condition became true within ten seconds
    template <typename Holds>
    bool run_until(Holds holds)
    {
        for (int step = 0; step < 1000 && !holds(); ++step)
        {
            context.run_for(milliseconds(10));
        }
        return holds();
    }

    static gateway_settings settings_for(const scripted_server& store)
    {
        gateway_settings settings;
        settings.host_id = "gateway";
        settings.host_hall = "here";
        settings.store_address = store.address();
        return settings;
    }

    scripted_server store;
    asio::io_context context{1};
    gateway_state state;
    topic_follower follower;
};

std::string make_response(const std::string& body)
{
    return concat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(),
                  "\r\n\r\n", body);
}

/// @return a page of the log: its end, the first retained offset (0) and
/// records
std::string make_page(char end, const std::vector<std::string>& records)
{
    const std::string zeros(7, '\0');
    const auto body = platform::append_call("t", records, std::nullopt).body;
    return concat(zeros, std::string(1, end), zeros, std::string(1, '\0'),
                  body);
}

// Lists one invalid record of another writer, and returns two in the log.
void serve_foreign_records(test_connection& connection)
{
    const std::string listed(R"({"items":[{"privateKey":5},)"
                             R"({"privateKey":"a","value":"MQ==","offset":1}],)"
                             R"("more":false,"end":2})");
    const auto tail =
        make_page(5, {"\xff", platform::encode_keyed("b", "2"), ""});
    for (auto request = connection.read_message(); !request.empty();
         request = connection.read_message())
    {
        if (request.find("/log-newest") != std::string::npos)
        {
            connection.send(make_response(listed));
        }
        else if (request.find("from=2&") != std::string::npos)
        {
            connection.send(make_response(tail));
        }
        else
        {
            connection.read_all();
        }
    }
}

// Guards against a follower that requests the list over and over because of an
// invalid record, and knows nothing of the topic.
TEST(foreign_records_test, end_neither_the_list_nor_the_tail_of_a_topic)
{
    followed_store followed(serve_foreign_records);
    const auto& follower = followed.follower;
    EXPECT_TRUE(
        followed.run_until([&] { return follower.next() == log_offset(5); }));
    EXPECT_TRUE(follower.records().contains("a"));
    EXPECT_TRUE(follower.records().contains("b"));
    EXPECT_EQ(followed.state.skipped.total(), 3);
}

// Returns one page on each connection, and then stops responding.
void serve_page_per_connection(test_connection& connection)
{
    const auto request = connection.read_message();
    const bool is_second = request.find("afterRevision=a") != std::string::npos;
    connection.send(make_response(
        is_second
            ? R"({"items":[{"privateKey":"b","value":"Mg==","offset":7}],)"
              R"("more":false,"end":9})"
            : R"({"items":[{"privateKey":"a","value":"MQ==","offset":1}],)"
              R"("more":true,"end":2})"));
    connection.read_all();
}

// Guards against listing from the start again after a failed page: when 295
// hosts start together and share the store's read capacity, any page may exceed
// its timeout.
TEST(list_in_pages_test, goes_on_where_a_page_failed)
{
    followed_store followed(serve_page_per_connection);
    const auto& follower = followed.follower;
    EXPECT_TRUE(
        followed.run_until([&] { return !follower.records().empty(); }));
    EXPECT_TRUE(follower.records().contains("a"));
    EXPECT_TRUE(follower.records().contains("b"));
    // Changes since the first page are read from the log.
    EXPECT_EQ(follower.next(), log_offset(2));
}

} // namespace
} // namespace daleshelf
