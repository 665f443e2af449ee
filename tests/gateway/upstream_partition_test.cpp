// Guards against a host that fails all requests while its own links to all
// upstreams are cut and those of its peers are not.
#include "gateway_fixture.hpp"

#include <base/text.hpp>
#include <future>
#include <gateway/simple_http_server.hpp>
#include <gateway/tunnel.hpp>

namespace daleshelf
{
namespace
{

const service_name service("service");
// Nothing listens there: the partitioned host's connections are refused.
constexpr const char* cut_address = "127.0.0.1:1";

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

scripted_server::script respond_with(const std::string& body)
{
    return [=](test_connection& connection)
    {
        while (true)
        {
            const auto request = connection.read_message();
            if (request.empty())
            {
                return;
            }
            connection.send(make_response(id_of(request), body));
        }
    };
}

gateway_settings make_peer_settings()
{
    gateway_settings settings;
    settings.host_id = "peer";
    settings.host_hall = "here";
    return settings;
}

/// A peer on the same event loop, which relays connections.
struct relaying_peer
{
    explicit relaying_peer(asio::io_context& context)
        : state(context, make_peer_settings())
        , tunnels(state)
        , server(context, "127.0.0.1:0",
                 [](const std::string&) {
                     return simple_response{404, ""};
                 })
    {
        server.set_tunnel_handler(
            [this](request_head head, std::shared_ptr<byte_channel> channel)
            { return tunnels.serve(std::move(head), std::move(channel)); });
        server.start();
    }

    gateway_state state;
    tunnel_server tunnels;
    simple_http_server server;
};

class upstream_partition : public gateway_fixture
{
protected:
    upstream_partition()
    {
        configure();
        on_loop(
            [&]
            {
                m_peer = std::make_unique<relaying_peer>(m_context);
                const auto port = m_peer->server.port();
                m_state.upstreams.set_peers(
                    [address = concat("127.0.0.1:", static_cast<int>(port))] {
                        return std::vector<relay_peer>{
                            {host_id("peer"), address}};
                    });
            });
    }

    ~upstream_partition() override
    {
        stop();
    }

    server_entry entry_of(const std::string& id, const std::string& address)
    {
        server_entry entry;
        entry.id = upstream_id(id);
        entry.service = service;
        entry.address = address;
        entry.hall = hall_id("here");
        entry.slots = 4;
        return entry;
    }

    /// Adds upstreams that only the peer can connect to.
    void add_cut_servers(const scripted_server& server, int count = 4)
    {
        on_loop(
            [&]
            {
                for (int index = 0; index < count; ++index)
                {
                    const auto id = concat("s", index);
                    m_state.servers.set(entry_of(id, cut_address));
                    m_peer->state.servers.set(entry_of(id, server.address()));
                }
            });
    }

    bool is_partitioned()
    {
        bool result = false;
        on_loop([&] { result = m_state.upstreams.links().is_partitioned(); });
        return result;
    }

    bool has_suspects()
    {
        bool result = false;
        on_loop([&] { result = m_state.poison.size() > 0; });
        return result;
    }

    std::unique_ptr<relaying_peer> m_peer;
};

TEST_F(upstream_partition, requests_go_through_a_peer)
{
    const scripted_server server(respond_with("body"));
    add_cut_servers(server);
    for (const auto* path : {"/safe/x", "/unsafe/x", "/unsafe/x", "/safe/x"})
    {
        const auto response = fetch(path);
        EXPECT_TRUE(contains(response, "HTTP/1.1 200 ")) << response;
    }
    EXPECT_TRUE(is_partitioned());
    EXPECT_EQ(server.requests(), 4);
    EXPECT_FALSE(has_suspects()) << "a cut link is no crash";
}

TEST_F(upstream_partition, a_quota_is_charged_once)
{
    limit_tenant({10, 2});
    const scripted_server server(respond_with("body"));
    add_cut_servers(server);
    on_loop(
        [&]
        {
            auto& quota = m_state.quota.shared();
            const auto now = gateway_state::now();
            quota.record_fleet_discovery(true, now - absl::Seconds(2));
            (void)quota.tick(now - absl::Seconds(1));
            (void)quota.tick(now);
        });
    int served = 0;
    while (contains(fetch("/own/x"), "HTTP/1.1 200 "))
    {
        ++served;
    }
    // As many as directly, see quota_service_test.cpp.
    EXPECT_EQ(served, 4);
}

TEST_F(upstream_partition, events_are_relayed_as_they_come)
{
    std::promise<void> is_first_read;
    const auto first_read = is_first_read.get_future().share();
    const scripted_server server(
        [=](test_connection& connection)
        {
            const auto request = connection.read_message();
            connection.send(stream_head(id_of(request)) + event_chunk(1, "a"));
            first_read.wait();
            connection.send(event_chunk(2, "b") + last_chunk);
            connection.read_message();
        });
    add_cut_servers(server);
    const auto client = connect();
    client->send(request_for("/stream/x"));
    EXPECT_TRUE(contains(client->read_until("data: a"), "data: a"));
    is_first_read.set_value();
    EXPECT_TRUE(contains(client->read_until("data: b"), "data: b"));
}

TEST_F(upstream_partition, a_client_that_leaves_ends_the_attempt)
{
    std::promise<void> is_read;
    std::promise<bool> was_reset;
    const scripted_server server(
        [&](test_connection& connection)
        {
            connection.read_message();
            is_read.set_value();
            connection.read_all();
            was_reset.set_value(connection.was_reset());
        });
    add_cut_servers(server);
    const auto client = connect();
    client->send(request_for("/unsafe/x"));
    is_read.get_future().wait();
    client->close();
    EXPECT_TRUE(was_reset.get_future().get());
}

TEST_F(upstream_partition, an_unsafe_request_that_may_have_run_is_not_repeated)
{
    const scripted_server server([](test_connection& connection)
                                 { connection.read_message(); });
    add_cut_servers(server);
    const auto response = fetch("/unsafe/x");
    EXPECT_TRUE(contains(response, "HTTP/1.1 502 ")) << response;
    EXPECT_EQ(server.requests(), 1);
}

// The end of a relaying process closes the connection like the end of a
// response without a length does.
TEST_F(upstream_partition, a_relayed_response_without_length_is_not_whole)
{
    const scripted_server server(
        [](test_connection& connection)
        {
            connection.read_message();
            connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"
                            "X-Server-Seal: seal\r\n\r\nhalf");
        });
    add_cut_servers(server);
    EXPECT_TRUE(contains(fetch("/unsafe/x"), "HTTP/1.1 502 "));
}

TEST_F(upstream_partition, a_dead_service_is_no_partition)
{
    const scripted_server live(respond_with("body"));
    on_loop(
        [&]
        {
            for (int index = 0; index < 4; ++index)
            {
                const auto entry = entry_of(concat("s", index), cut_address);
                m_state.servers.set(entry);
                m_peer->state.servers.set(entry);
            }
        });
    EXPECT_TRUE(contains(fetch("/safe/x"), "HTTP/1.1 503 "));
    EXPECT_FALSE(is_partitioned());
}

TEST_F(upstream_partition, a_service_without_a_path_is_rejected_at_once)
{
    const scripted_server server(respond_with("body"));
    add_cut_servers(server);
    on_loop([&] { m_peer->state.is_stopping = true; });
    fetch("/safe/x");
    const auto response = fetch("/safe/x");
    EXPECT_TRUE(contains(response, "HTTP/1.1 503 ")) << response;
    EXPECT_TRUE(contains(response, "Retry-After: ")) << response;
    EXPECT_EQ(server.connections(), 0);
}

TEST_F(upstream_partition, peers_relay_to_listed_upstreams_only)
{
    const scripted_server server(respond_with("body"));
    static asio::io_context context;
    for (const auto& target :
         {std::string("s9:80"), server.address(), std::string("")})
    {
        asio::ip::tcp::socket socket(context);
        socket.connect(
            {asio::ip::make_address("127.0.0.1"), m_peer->server.port()});
        test_connection connection(std::move(socket));
        connection.send(
            concat("CONNECT ", target, " HTTP/1.1\r\nHost: x\r\n\r\n"));
        EXPECT_FALSE(contains(connection.read_message(), "HTTP/1.1 200 "));
    }
    EXPECT_EQ(server.connections(), 0);
}

TEST_F(upstream_partition, direct_connections_are_used_again_after_the_cut)
{
    const scripted_server server(respond_with("body"));
    add_cut_servers(server);
    EXPECT_TRUE(contains(fetch("/safe/x"), "HTTP/1.1 200 "));
    on_loop(
        [&]
        {
            for (int index = 0; index < 4; ++index)
            {
                m_state.servers.set(
                    entry_of(concat("s", index), server.address()));
            }
        });
    while (is_partitioned())
    {
        std::this_thread::yield();
    }
    EXPECT_TRUE(contains(fetch("/safe/x"), "HTTP/1.1 200 "));
}

TEST_F(upstream_partition, an_unserved_request_counts_once_as_demand)
{
    make_engines();
    const scripted_server server(respond_with("body"));
    add_cut_servers(server);
    on_loop([&] { m_peer->state.is_stopping = true; });
    EXPECT_TRUE(contains(fetch("/safe/x"), "HTTP/1.1 503 "));
    on_loop([&] { EXPECT_EQ(m_state.loads[service].work.prompts, 1); });
}

// The connection breaks at a working upstream. While no other upstream can be
// connected, a cut link of this host is as likely a cause.
TEST_F(upstream_partition, a_rollout_counts_failures_while_links_work_only)
{
    const scripted_server breaking([](test_connection& connection)
                                   { connection.read_message(); });
    const scripted_server control(respond_with("body"));
    on_loop(
        [&]
        {
            m_state.upstreams.set_peers({});
            m_state.servers.versions().set_order({service, version_name("v2"),
                                                  absl::Seconds(14),
                                                  log_offset(7)});
            m_state.servers.set(entry_of("breaking", breaking.address()));
            m_state.servers.set(entry_of("control", cut_address));
        });
    EXPECT_TRUE(contains(fetch("/unsafe/x"), "HTTP/1.1 502 "));
    on_loop([&]
            { m_state.servers.set(entry_of("control", control.address())); });
    const auto failures = [&]
    {
        double count = 0;
        on_loop(
            [&]
            {
                const auto report = m_state.rollouts.report(service);
                for (const auto& [route, seen] : report->statistics.old_version)
                {
                    count += seen.failures;
                }
            });
        return count;
    };
    while (breaking.requests() == 1)
    {
        fetch("/unsafe/x");
    }
    while (failures() == 0)
    {
        std::this_thread::yield();
    }
    EXPECT_EQ(failures(), 1);
}

} // namespace
} // namespace daleshelf
