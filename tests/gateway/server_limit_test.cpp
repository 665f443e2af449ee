// Guards against sending an upstream more requests per second than it names.
#include "gateway_fixture.hpp"

#include <algorithm>
#include <base/text.hpp>
#include <chrono>
#include <deque>

namespace daleshelf
{
namespace
{

/// Responds with a rate limit, and records when requests arrive.
class limited_server
{
public:
    explicit limited_server(std::string limit)
        : m_limit(std::move(limit))
        , m_server([this](test_connection& connection) { serve(connection); })
    {
    }

    [[nodiscard]] const scripted_server& server() const
    {
        return m_server;
    }

    /// Sets the value of the limit field; if empty, responses have no field.
    void set_limit(std::string limit)
    {
        const std::lock_guard guard(m_mutex);
        m_limit = std::move(limit);
    }

    [[nodiscard]] std::size_t request_count() const
    {
        const std::lock_guard guard(m_mutex);
        return m_arrivals.size();
    }

    /// @return the highest number of requests within any window of this length
    [[nodiscard]] std::size_t max_within(std::chrono::seconds window) const
    {
        const std::lock_guard guard(m_mutex);
        std::size_t max_count = 0;
        std::deque<std::chrono::steady_clock::time_point> recent;
        for (const auto at : m_arrivals)
        {
            recent.push_back(at);
            while (at - recent.front() > window)
            {
                recent.pop_front();
            }
            max_count = std::max(max_count, recent.size());
        }
        return max_count;
    }

private:
    void serve(test_connection& connection)
    {
        while (true)
        {
            const auto request = connection.read_message();
            if (request.empty())
            {
                return;
            }
            auto response = make_response(id_of(request), "limited");
            const std::lock_guard guard(m_mutex);
            m_arrivals.push_back(std::chrono::steady_clock::now());
            if (!m_limit.empty())
            {
                response.insert(response.find("\r\n") + 2,
                                concat("Server-Limit: ", m_limit, "\r\n"));
            }
            connection.send(response);
        }
    }

    mutable std::mutex m_mutex;
    std::string m_limit;
    std::vector<std::chrono::steady_clock::time_point> m_arrivals;
    scripted_server m_server;
};

constexpr std::chrono::seconds window{4};

/// @return the highest number of requests allowed within the window
std::size_t max_allowed(double limit)
{
    constexpr double factor = 1.5;
    constexpr double slack = 5;
    const auto seconds = static_cast<double>(window.count());
    return static_cast<std::size_t>(factor * limit * seconds + slack);
}

class server_limit : public gateway_fixture
{
protected:
    server_limit()
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
                      connection.send(make_response(id_of(request), "sound"));
                  }
              })
    {
        configure();
    }

    void fetch_repeatedly(const std::string& path, int requests = 200)
    {
        for (int index = 0; index < requests; ++index)
        {
            fetch(path);
        }
    }

    /// Lets this host earn quota as if it were the whole fleet.
    void earn_quota()
    {
        on_loop(
            [&]
            {
                auto& quota = m_state.quota.shared();
                quota.record_fleet_discovery(true, gateway_state::now());
                m_state.quota.tick();
            });
    }

    void merge_peer_limit(std::optional<double> limit, std::int64_t named_at_ms)
    {
        const limit_record record{{upstream_id("a"), upstream_birth()},
                                  limit,
                                  absl::FromUnixMillis(named_at_ms)};
        on_loop(
            [&] {
                m_state.quota.shared().merge_limit(record,
                                                   gateway_state::now());
            });
    }

    scripted_server m_healthy;
};

TEST_F(server_limit, a_server_gets_no_more_than_it_has_named)
{
    const limited_server limited("1");
    add_server("a", limited.server());
    add_server("b", m_healthy);
    fetch_repeatedly("/safe/x");
    EXPECT_LE(limited.max_within(window), max_allowed(1));
}

TEST_F(server_limit, a_server_gets_no_more_when_no_other_is_left)
{
    const limited_server limited("2");
    add_server("a", limited.server());
    fetch_repeatedly("/unsafe/x");
    EXPECT_LE(limited.max_within(window), max_allowed(2));
}

TEST_F(server_limit, the_limit_is_used)
{
    const limited_server limited("200");
    add_server("a", limited.server());
    while (limited.request_count() < 20)
    {
        earn_quota();
        fetch("/unsafe/x");
    }
    SUCCEED();
}

TEST_F(server_limit, repeats_and_resumes_count)
{
    const limited_server limited("1");
    const scripted_server failing(
        [](test_connection& connection)
        {
            const auto request = connection.read_message();
            connection.send(stream_head(id_of(request)) + event_chunk(1, "x"));
            connection.close();
        });
    add_server("a", limited.server());
    fetch("/unsafe/x");
    add_server("b", failing);
    for (int index = 0; index < 50; ++index)
    {
        const auto client = connect();
        client->send(request_for("/stream/x"));
        client->read_all();
        fetch("/safe/x");
    }
    EXPECT_LE(limited.max_within(window), max_allowed(1));
}

TEST_F(server_limit, a_request_that_no_server_has_room_for_is_rejected_at_once)
{
    const limited_server limited("0.5");
    add_server("a", limited.server());
    fetch("/unsafe/x");
    const auto response = fetch("/unsafe/x");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    const auto at = response.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos) << response;
    EXPECT_GT(std::stod(response.substr(at + 13)), 1.0)
        << "the limit is one request in two seconds";
}

TEST_F(server_limit, a_limit_from_a_peer_applies_before_the_first_response)
{
    const limited_server limited("");
    add_server("a", limited.server());
    merge_peer_limit(3.0, 1000);
    EXPECT_TRUE(fetch("/unsafe/x").starts_with("HTTP/1.1 503 "));
    EXPECT_EQ(limited.request_count(), 0U);
    merge_peer_limit(std::nullopt, 2000);
    on_loop([&] { m_state.choice.reset_server(upstream_id("a")); });
    EXPECT_TRUE(fetch("/unsafe/x").ends_with("limited"));
}

TEST_F(server_limit, a_limit_that_cannot_be_read_changes_nothing)
{
    const limited_server limited("-1");
    add_server("a", limited.server());
    fetch_repeatedly("/unsafe/x", 30);
    EXPECT_EQ(limited.request_count(), 30U);
}

TEST_F(server_limit, a_server_that_no_longer_names_a_limit_has_none)
{
    limited_server limited("50");
    add_server("a", limited.server());
    fetch("/unsafe/x");
    limited.set_limit("");
    while (limited.request_count() < 2)
    {
        earn_quota();
        fetch("/unsafe/x");
    }
    const auto before = limited.request_count();
    fetch_repeatedly("/unsafe/x", 30);
    EXPECT_EQ(limited.request_count(), before + 30);
}

} // namespace
} // namespace daleshelf
