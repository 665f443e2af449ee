// Guards against a query of death that crashes one upstream after the other:
// its clients send it again, and each attempt goes to the next upstream. One
// such request crashed 21 upstreams within 9 s; each crash broke 4 to 11
// further requests (`upstream_failed end=broken`).
#include "gateway_fixture.hpp"

#include <base/text.hpp>
#include <future>

namespace daleshelf
{
namespace
{

/// An upstream that crashes when it has read a request.
class crashing_server
{
public:
    crashing_server()
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_address(
              concat("127.0.0.1:",
                     static_cast<int>(m_acceptor.local_endpoint().port())))
        , m_thread([this] { serve(); })
    {
    }

    ~crashing_server()
    {
        {
            // A connection to itself unblocks the pending accept.
            error_code ignored;
            asio::ip::tcp::socket last(m_context);
            last.connect(*parse_endpoint(m_address), ignored);
        }
        m_thread.join();
    }

    crashing_server(const crashing_server&) = delete;
    crashing_server& operator=(const crashing_server&) = delete;

    [[nodiscard]] server_entry entry(const std::string& id) const
    {
        server_entry entry;
        entry.id = upstream_id(id);
        entry.service = service_name("service");
        entry.address = m_address;
        entry.hall = hall_id("here");
        entry.slots = 4;
        return entry;
    }

private:
    void serve()
    {
        asio::ip::tcp::socket socket(m_context);
        error_code ignored;
        m_acceptor.accept(socket, ignored);
        test_connection connection(std::move(socket));
        connection.read_message();
        m_acceptor.close(ignored);
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::thread m_thread;
};

class poison_path : public gateway_fixture
{
protected:
    poison_path()
        : m_healthy(
              [](test_connection& connection)
              {
                  while (true)
                  {
                      const auto request = connection.read_message();
                      if (request.empty())
                      {
                          return;
                      }
                      connection.send(make_response(id_of(request), "good"));
                  }
              })
    {
        configure();
    }

    void list(const crashing_server& server, const std::string& id)
    {
        on_loop([&] { m_state.servers.set(server.entry(id)); });
    }

    /// Merges a peer's report that an upstream crashed under the request a
    /// second ago.
    void merge_peer_crash(const suspect_request& suspect)
    {
        on_loop(
            [&]
            {
                const auto now = gateway_state::now();
                poison_record peer_record;
                peer_record.fingerprint = suspect.fingerprint;
                peer_record.shape = suspect.shape;
                peer_record.service = suspect.service;
                peer_record.crashes[{upstream_id("z"), {}}] = {
                    now - absl::Seconds(1), absl::Seconds(1)};
                m_state.poison.merge(peer_record, now);
            });
    }

    /// Merges a peer's report of one upstream that crashed under a request.
    void merge_crash(const suspect_request& suspect, const std::string& id,
                     absl::Duration age)
    {
        const auto now = gateway_state::now();
        poison_record reported;
        reported.fingerprint = suspect.fingerprint;
        reported.shape = suspect.shape;
        reported.service = suspect.service;
        reported.crashes[{upstream_id(id), {}}] = {now - age, absl::Seconds(1)};
        m_state.poison.merge(reported, now);
    }

    /// Merges, while a request is held, that two more upstreams crashed with
    /// the last one under it.
    void merge_other_crashes_later()
    {
        constexpr milliseconds report_delay{100};
        m_report_timer.expires_after(report_delay);
        m_report_timer.async_wait(
            [this](const error_code&)
            {
                const suspect_request other{request_fingerprint("other"), 1,
                                            service_name("service")};
                for (const auto* id : {"x", "y"})
                {
                    merge_crash(other, id, absl::Milliseconds(150));
                }
            });
    }

    void wait_until_confirmed(const request_fingerprint& fingerprint)
    {
        auto level = suspicion::none;
        while (level != suspicion::confirmed)
        {
            on_loop(
                [&] {
                    level = m_state.poison.judge(fingerprint, 3,
                                                 gateway_state::now());
                });
        }
    }

    scripted_server m_healthy;
    boot_timer m_report_timer{m_context};
};

TEST_F(poison_path, a_request_that_crashed_two_servers_is_rejected)
{
    const request_content content{{}, "h", "GET", "/unsafe/deadly", ""};
    const suspect_request suspect{fingerprint_of(content), shape_of(content),
                                  service_name("service")};
    merge_peer_crash(suspect);
    const crashing_server crashing;
    list(crashing, "a");
    EXPECT_TRUE(fetch("/unsafe/deadly").starts_with("HTTP/1.1 502 "));
    wait_until_confirmed(suspect.fingerprint);
    add_server("c", m_healthy);
    const auto response = fetch("/unsafe/deadly");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    const auto at = response.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos) << response;
    EXPECT_GT(std::stod(response.substr(at + 13)), 60)
        << "the time until the next probe";
    EXPECT_EQ(m_healthy.requests(), 0);
    on_loop([&] { m_state.servers.remove(upstream_id("a")); });
    EXPECT_TRUE(fetch("/unsafe/other").ends_with("good"));
}

// The fleet model holds such a request too: rejecting it at once would cost a
// wrongly suspected client a back-off.
TEST_F(poison_path, a_request_is_held_until_its_last_crash_is_settled)
{
    const request_content content{{}, "h", "GET", "/unsafe/popular", ""};
    const suspect_request suspect{fingerprint_of(content), shape_of(content),
                                  service_name("service")};
    add_server("c", m_healthy);
    on_loop(
        [&]
        {
            merge_crash(suspect, "v", absl::Seconds(2));
            merge_crash(suspect, "w", absl::Milliseconds(50));
            EXPECT_TRUE(m_state.poison.must_wait(suspect.fingerprint, 1,
                                                 gateway_state::now()));
            merge_other_crashes_later();
        });
    EXPECT_TRUE(fetch("/unsafe/popular").ends_with("good"));
    EXPECT_EQ(m_healthy.requests(), 1);
}

TEST_F(poison_path, a_closed_connection_is_no_crash)
{
    const scripted_server closing([](test_connection& connection)
                                  { connection.read_message(); });
    add_server("a", closing);
    fetch("/unsafe/x");
    // The port probe arrives as a separate connection.
    while (closing.connections() < 2)
    {
    }
    on_loop([] {});
    std::size_t known = 1;
    on_loop([&] { known = m_state.poison.size(); });
    EXPECT_EQ(known, 0);
}

TEST_F(poison_path, an_exit_of_a_draining_server_is_no_evidence)
{
    scripted_server leaving([](test_connection&) {});
    add_server("a", leaving);
    leaving.crash();
    std::promise<bool> is_blamed;
    on_loop(
        [&]
        {
            auto entry = *m_state.servers.find(upstream_id("a"));
            entry.is_draining = true;
            m_state.servers.set(entry);
            m_state.crashes.record_unfinished_attempt(
                entry, {request_fingerprint("p"), 1, service_name("service")},
                gateway_state::now() - absl::Seconds(1));
            asio::co_spawn(
                m_context,
                [&, entry]
                { return m_state.crashes.probe(entry, crash_sign::broken); },
                [&](const std::exception_ptr&)
                { is_blamed.set_value(m_state.poison.size() > 0); });
        });
    EXPECT_FALSE(is_blamed.get_future().get());
}

TEST_F(poison_path, a_suspect_goes_where_nothing_else_runs)
{
    on_loop(
        [&]
        {
            for (const auto* id : {"a", "b", "c"})
            {
                server_entry entry;
                entry.id = upstream_id(id);
                entry.service = service_name("service");
                entry.hall =
                    hall_id(entry.id.value() == "c" ? "there" : "here");
                entry.slots = 4;
                m_state.servers.set(entry);
            }
            const request_facts facts;
            choice_request request;
            request.service = service_name("service");
            request.facts = &facts;
            m_state.choice.begin_attempt({upstream_id("a"), {}}, request, 0);
            m_state.suspects.begin(request_fingerprint("p"), upstream_id("b"));
            request.is_suspect = true;
            request.suspected_at = m_state.suspects.servers();
            const auto* chosen =
                m_state.choice.choose(request, gateway_state::now());
            EXPECT_EQ(chosen->id, upstream_id("c"));
            m_state.suspects.end(request_fingerprint("p"), upstream_id("b"));
            EXPECT_TRUE(m_state.suspects.servers().empty());
        });
}

} // namespace
} // namespace daleshelf
