#include "peer_transport.hpp"

#include "generated/peer.pb.h"

#include <absl/time/clock.h>
#include <zmq.hpp>

#include <array>
#include <map>
#include <stdexcept>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr int high_water_mark = 2000;
constexpr std::int64_t longest_message = 16 << 20;
constexpr int linger_ms = 200; // for the last messages of a planned stop
constexpr int reconnect_ms = 100;
constexpr int longest_reconnect_ms = 1000;
constexpr std::chrono::milliseconds poll_interval{1000};
constexpr absl::Duration idle_time = absl::Seconds(60);

/// A connection to one peer.
struct connection
{
    zmq::socket_t socket;
    absl::Time last_used;
};

} // namespace

struct peer_transport::sockets
{
    zmq::context_t context{1};
    zmq::socket_t incoming{context, zmq::socket_type::pull};
    std::map<std::string, connection> outgoing;
    int wakeup = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);

    sockets() = default;
    sockets(const sockets&) = delete;
    sockets& operator=(const sockets&) = delete;

    ~sockets()
    {
        ::close(wakeup);
    }

    connection& find(const std::string& address)
    {
        const auto found = outgoing.find(address);
        if (found != outgoing.end())
        {
            return found->second;
        }
        auto& made = outgoing[address];
        made.socket = zmq::socket_t(context, zmq::socket_type::push);
        made.socket.set(zmq::sockopt::linger, linger_ms);
        made.socket.set(zmq::sockopt::sndhwm, high_water_mark);
        made.socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
        made.socket.set(zmq::sockopt::reconnect_ivl_max, longest_reconnect_ms);
        made.socket.connect("tcp://" + address);
        return made;
    }
};

peer_transport::peer_transport(const peer_transport_options& options,
                               receive_handler on_receive,
                               version_handler on_other_version)
    : m_options(options)
    , m_on_receive(std::move(on_receive))
    , m_on_other_version(std::move(on_other_version))
    , m_sockets(std::make_unique<sockets>())
{
    auto& incoming = m_sockets->incoming;
    incoming.set(zmq::sockopt::linger, 0);
    incoming.set(zmq::sockopt::rcvhwm, high_water_mark);
    incoming.set(zmq::sockopt::maxmsgsize, longest_message);
    const auto wanted =
        options.address + ":" +
        (options.port == 0 ? "*" : std::to_string(options.port));
    try
    {
        incoming.bind("tcp://" + wanted);
    }
    catch (const zmq::error_t& error)
    {
        throw std::runtime_error("cannot listen for peers on " + wanted + ": " +
                                 error.what());
    }
    constexpr std::size_t scheme_length = 6;
    m_address = incoming.get(zmq::sockopt::last_endpoint).substr(scheme_length);
}

void peer_transport::start()
{
    m_thread = std::thread([this] { run(); });
}

peer_transport::~peer_transport()
{
    stop();
}

void peer_transport::stop()
{
    if (!m_thread.joinable())
    {
        return;
    }
    m_is_stopping = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written =
        ::write(m_sockets->wakeup, &one, sizeof(one));
    m_thread.join();
}

void peer_transport::send(const std::string& address,
                          protocol::Envelope envelope)
{
    envelope.set_protocol_version(protocol_version);
    envelope.set_from_host(m_options.self.value());
    envelope.set_from_address(m_address);
    {
        absl::MutexLock lock(&m_mutex);
        m_waiting.push_back({address, envelope.SerializeAsString()});
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written =
        ::write(m_sockets->wakeup, &one, sizeof(one));
}

void peer_transport::set_cut(const std::string& address,
                             cut_direction direction, bool is_cut)
{
    absl::MutexLock lock(&m_mutex);
    auto& cuts =
        direction == cut_direction::incoming ? m_cut_incoming : m_cut_outgoing;
    if (is_cut)
    {
        cuts.insert(address);
        return;
    }
    cuts.erase(address);
}

bool peer_transport::is_cut(const std::string& address, cut_direction direction)
{
    absl::MutexLock lock(&m_mutex);
    const auto& cuts =
        direction == cut_direction::incoming ? m_cut_incoming : m_cut_outgoing;
    return cuts.contains(address) || cuts.contains("*");
}

void peer_transport::run()
{
    while (!m_is_stopping)
    {
        std::array<zmq::pollitem_t, 2> items{
            zmq::pollitem_t{m_sockets->incoming.handle(), 0, ZMQ_POLLIN, 0},
            zmq::pollitem_t{nullptr, m_sockets->wakeup, ZMQ_POLLIN, 0}};
        zmq::poll(items.data(), items.size(), poll_interval);
        if ((items[1].revents & ZMQ_POLLIN) != 0)
        {
            std::uint64_t ignored = 0;
            [[maybe_unused]] const auto count =
                ::read(m_sockets->wakeup, &ignored, sizeof(ignored));
        }
        send_waiting();
        receive_all();
        close_idle();
    }
    send_waiting();
}

void peer_transport::send_waiting()
{
    std::vector<outgoing_message> waiting;
    {
        absl::MutexLock lock(&m_mutex);
        waiting.swap(m_waiting);
    }
    for (const auto& message : waiting)
    {
        if (is_cut(message.address, cut_direction::outgoing))
        {
            continue;
        }
        auto& target = m_sockets->find(message.address);
        target.last_used = absl::Now();
        // A peer that cannot take it now loses it; whoever needs an answer
        // asks again.
        const auto sent = target.socket.send(zmq::buffer(message.bytes),
                                             zmq::send_flags::dontwait);
        if (sent)
        {
            m_bytes_sent += static_cast<std::int64_t>(*sent);
        }
    }
}

void peer_transport::receive_all()
{
    zmq::message_t message;
    while (m_sockets->incoming.recv(message, zmq::recv_flags::dontwait))
    {
        m_bytes_received += static_cast<std::int64_t>(message.size());
        receive(message.to_string());
    }
}

void peer_transport::receive(const std::string& bytes)
{
    protocol::Envelope envelope;
    if (!envelope.ParseFromString(bytes))
    {
        m_on_other_version(host_id("unknown"), 0);
        return;
    }
    if (is_cut(envelope.from_address(), cut_direction::incoming))
    {
        return;
    }
    if (envelope.protocol_version() != protocol_version)
    {
        m_on_other_version(host_id(envelope.from_host()),
                           envelope.protocol_version());
        return;
    }
    m_on_receive(std::move(envelope));
}

void peer_transport::close_idle()
{
    std::erase_if(m_sockets->outgoing, [](const auto& entry)
                  { return absl::Now() - entry.second.last_used > idle_time; });
}

} // namespace daleshelf
