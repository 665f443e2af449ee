// Guards against ending connections to peers that are silent for a second or so
// and then go on.
#include <gtest/gtest.h>

#include <gateway/server_connection.hpp>
#include <netinet/tcp.h>

namespace daleshelf
{
namespace
{

constexpr int borne_silence_ms = 2000;

int option_of(asio::ip::tcp::socket& socket, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    ::getsockopt(socket.native_handle(), level, name, &value, &size);
    return value;
}

class silent_peer : public testing::Test
{
protected:
    silent_peer()
    {
        m_socket.open(asio::ip::tcp::v4());
        detect_silent_peer(m_socket);
    }

    asio::io_context m_context;
    asio::ip::tcp::socket m_socket{m_context};
};

TEST_F(silent_peer, may_leave_bytes_unacknowledged_for_two_seconds)
{
    EXPECT_GT(option_of(m_socket, IPPROTO_TCP, TCP_USER_TIMEOUT),
              borne_silence_ms);
}

// The user timeout ends an idle connection at the first probe after it.
TEST_F(silent_peer, may_leave_probes_unanswered_for_two_seconds)
{
    constexpr int ms_per_second = 1000;
    EXPECT_EQ(option_of(m_socket, SOL_SOCKET, SO_KEEPALIVE), 1);
    const auto idle = option_of(m_socket, IPPROTO_TCP, TCP_KEEPIDLE);
    const auto interval = option_of(m_socket, IPPROTO_TCP, TCP_KEEPINTVL);
    const auto timeout = option_of(m_socket, IPPROTO_TCP, TCP_USER_TIMEOUT);
    auto ends_at = (idle + interval) * ms_per_second;
    while (ends_at < timeout)
    {
        ends_at += interval * ms_per_second;
    }
    EXPECT_GT(ends_at, borne_silence_ms);
    EXPECT_LE(ends_at, 2 * borne_silence_ms) << "a dead peer is detected";
}

} // namespace
} // namespace daleshelf
