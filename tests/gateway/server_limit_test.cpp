// Guards against a server that names a limit of requests a second getting more.
#include "gateway_fixture.hpp"

#include <algorithm>
#include <base/text.hpp>
#include <chrono>
#include <deque>

namespace daleshelf
{
namespace
{

/// Answers well, names its limit, and notes when requests arrive.
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

    /// Sets the field's value from now on; empty: no field.
    void set_limit(std::string limit)
    {
        const std::lock_guard guard(m_mutex);
        m_limit = std::move(limit);
    }

    [[nodiscard]] std::size_t arrived() const
    {
        const std::lock_guard guard(m_mutex);
        return m_arrivals.size();
    }

    /// @return the most requests that have arrived within any such time
    [[nodiscard]] std::size_t most_within(std::chrono::seconds window) const
    {
        const std::lock_guard guard(m_mutex);
        std::size_t most = 0;
        std::deque<std::chrono::steady_clock::time_point> recent;
        for (const auto at : m_arrivals)
        {
            recent.push_back(at);
            while (at - recent.front() > window)
            {
                recent.pop_front();
            }
            most = std::max(most, recent.size());
        }
        return most;
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
            auto answer = plain_answer(id_of(request), "limited");
            const std::lock_guard guard(m_mutex);
            m_arrivals.push_back(std::chrono::steady_clock::now());
            if (!m_limit.empty())
            {
                answer.insert(answer.find("\r\n") + 2,
                              concat("Server-Limit: ", m_limit, "\r\n"));
            }
            connection.send(answer);
        }
    }

    mutable std::mutex m_mutex;
    std::string m_limit;
    std::vector<std::chrono::steady_clock::time_point> m_arrivals;
    scripted_server m_server;
};

constexpr std::chrono::seconds window{4};

/// @return the most requests that a server may get within the window
std::size_t most_allowed(double limit)
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
        : m_sound(
              [](test_connection& connection)
              {
                  while (true)
                  {
                      const auto request = connection.read_message();
                      if (request.empty())
                      {
                          return;
                      }
                      connection.send(plain_answer(id_of(request), "sound"));
                  }
              })
    {
        configure();
    }

    void ask_often(const std::string& path)
    {
        constexpr int requests = 200;
        for (int index = 0; index < requests; ++index)
        {
            ask(path);
        }
    }

    scripted_server m_sound;
};

TEST_F(server_limit, a_server_gets_no_more_than_it_has_named)
{
    const limited_server limited("1");
    add_server("a", limited.server());
    add_server("b", m_sound);
    ask_often("/safe/x");
    EXPECT_LE(limited.most_within(window), most_allowed(1));
}

TEST_F(server_limit, a_server_gets_no_more_when_no_other_is_left)
{
    const limited_server limited("2");
    add_server("a", limited.server());
    ask_often("/unsafe/x");
    EXPECT_LE(limited.most_within(window), most_allowed(2));
}

} // namespace
} // namespace daleshelf
