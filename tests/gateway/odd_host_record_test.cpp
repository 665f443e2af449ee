// Records of other writers in the store's list of hosts.
#include "gateway_fixture.hpp"

#include <absl/strings/escaping.h>

#include <base/text.hpp>
#include <gateway/peer_exchange.hpp>

namespace daleshelf
{
namespace
{

std::string item(int offset, const std::string& key, const std::string& value)
{
    return concat(R"({"privateKey":")", key, R"(","offset":)", offset,
                  R"(,"value":")", absl::Base64Escape(value), "\"}");
}

/// A host whose store lists an odd record beside that of a peer.
class odd_host_record : public testing::Test
{
protected:
    odd_host_record()
        : m_peer(m_context, asio::ip::udp::endpoint(
                                asio::ip::make_address("127.0.0.1"), 0))
    {
    }

    static topic_callbacks no_callbacks()
    {
        return {[](const auto&) {}, [](const auto&) {}};
    }

    gateway_settings make_settings(const scripted_server& store)
    {
        gateway_settings settings;
        settings.host_id = "self";
        settings.host_hall = "here";
        settings.store_address = store.address();
        settings.peers_address = concat("127.0.0.1:", free_port());
        return settings;
    }

    // @return a port that is free for datagrams and for connections
    unsigned short free_port()
    {
        constexpr int max_attempts = 50;
        const auto ip = asio::ip::make_address("127.0.0.1");
        for (int attempt = 0; attempt < max_attempts; ++attempt)
        {
            asio::ip::tcp::acceptor connections(m_context,
                                                asio::ip::tcp::endpoint(ip, 0));
            const auto port = connections.local_endpoint().port();
            asio::ip::udp::socket datagrams(m_context);
            error_code error;
            datagrams.open(asio::ip::udp::v4(), error);
            datagrams.bind({ip, port}, error);
            if (!error)
            {
                return port;
            }
        }
        throw std::runtime_error("no port is free");
    }

    std::string listed_value() const
    {
        return concat("127.0.0.1:", m_peer.local_endpoint().port(), " here");
    }

    /// @param odd the odd record's item in the list
    /// @return datagrams that the peer gets within two seconds
    int states_sent(const std::string& odd)
    {
        const auto list = concat(R"({"end":3,"more":false,"items":[)", odd, ",",
                                 item(2, "peer", listed_value()), "]}");
        const scripted_server store(
            [&list](test_connection& connection)
            {
                while (!connection.read_message().empty())
                {
                    connection.send(concat("HTTP/1.1 200 OK\r\nContent-Length:"
                                           " ",
                                           list.size(), "\r\n\r\n", list));
                }
            });
        gateway_state state(m_context, make_settings(store));
        topic_follower configuration(state, "other", no_callbacks());
        topic_follower servers(state, "servers", no_callbacks());
        peer_exchange peers(state, {configuration, servers});
        peers.start();
        m_context.restart();
        run_for(std::chrono::seconds(2));
        return received();
    }

    // As the gateway does: an exception ends one coroutine.
    void run_for(std::chrono::seconds time)
    {
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until)
        {
            try
            {
                m_context.run_until(until);
            }
            catch (const std::exception& error)
            {
                ADD_FAILURE() << error.what();
            }
        }
    }

    int received()
    {
        m_peer.non_blocking(true);
        int count = 0;
        std::array<char, 65536> bytes; // NOLINT
        error_code error;
        while (true)
        {
            m_peer.receive(asio::buffer(bytes), 0, error);
            if (error)
            {
                return count;
            }
            ++count;
        }
    }

    asio::io_context m_context{1};
    asio::ip::udp::socket m_peer;
};

// Guards against an address that cannot be parsed and ends the exchange.
TEST_F(odd_host_record, an_unreadable_address_leaves_the_exchange_running)
{
    EXPECT_GE(states_sent(item(1, "odd", "no address here")), 3);
    EXPECT_GE(states_sent(item(1, "odd", "127.0.0.1:65536 here")), 3);
    EXPECT_GE(states_sent(item(1, "odd", "127.0.0.1:-1 here")), 3);
    EXPECT_GE(states_sent(item(1, "odd", std::string(100000, '['))), 3);
}

} // namespace
} // namespace daleshelf
