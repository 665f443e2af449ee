/// @file
/// Messages between entry hosts over ZeroMQ.
#pragma once

#include "forward.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <atomic>
#include <base/identifiers.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace daleshelf
{

/// Version of the protocol; a peer of another version is not understood.
inline constexpr std::uint32_t protocol_version = 1;

/// Which way a cut between two hosts works.
enum class cut_direction
{
    incoming,
    outgoing,
};

/// Where a transport listens.
struct peer_transport_options
{
    std::string address;    ///< IP number
    std::uint16_t port = 0; ///< 0: any free one
    host_id self;
};

/// Sends and receives envelopes; each may be lost, none is doubled.
class peer_transport
{
public:
    using receive_handler = std::function<void(protocol::Envelope)>;
    /// Called with the host and the version of a peer that is not understood.
    using version_handler = std::function<void(const host_id&, std::uint32_t)>;

    /// @param options where to listen
    /// @param on_receive called on the transport's thread
    /// @param on_other_version called on the transport's thread
    /// @throws std::runtime_error if the address cannot be listened on
    peer_transport(const peer_transport_options& options,
                   receive_handler on_receive,
                   version_handler on_other_version);
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    ~peer_transport();

    /// Starts to send and to receive.
    void start();

    /// Ends the thread; nothing is received any more.
    void stop();

    /// @return IP:PORT for peers
    [[nodiscard]] const std::string& address() const
    {
        return m_address;
    }

    /// Sends a message; may be called from any thread.
    /// @param address IP:PORT of the peer
    /// @param envelope the message; version and sender are filled in
    void send(const std::string& address, protocol::Envelope envelope);

    /// Test fault: drops messages of or to a peer.
    /// @param address IP:PORT of the peer; `*`: all
    void set_cut(const std::string& address, cut_direction direction,
                 bool is_cut);

    /// @return bytes sent since the start
    [[nodiscard]] std::int64_t bytes_sent() const
    {
        return m_bytes_sent;
    }

    /// @return bytes received since the start
    [[nodiscard]] std::int64_t bytes_received() const
    {
        return m_bytes_received;
    }

private:
    struct sockets;

    struct outgoing_message
    {
        std::string address;
        std::string bytes;
    };

    void run();
    void send_waiting();
    void receive_all();
    void receive(const std::string& bytes);
    void close_idle();
    bool is_cut(const std::string& address, cut_direction direction);

    peer_transport_options m_options;
    receive_handler m_on_receive;
    version_handler m_on_other_version;
    std::string m_address;
    std::unique_ptr<sockets> m_sockets;
    std::atomic<bool> m_is_stopping = false;
    std::atomic<std::int64_t> m_bytes_sent = 0;
    std::atomic<std::int64_t> m_bytes_received = 0;
    absl::Mutex m_mutex;
    std::vector<outgoing_message> m_waiting ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_set<std::string> m_cut_incoming ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_set<std::string> m_cut_outgoing ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace daleshelf
