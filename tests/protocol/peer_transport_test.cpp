#include <absl/synchronization/mutex.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <zmq.hpp>

#include <memory>
#include <protocol/generated/peer.pb.h>
#include <protocol/gossip_codec.hpp>
#include <protocol/peer_transport.hpp>
#include <protocol/request_codec.hpp>
#include <tests/support/waiting.hpp>

namespace daleshelf
{
namespace
{

/// A transport and what it has heard.
class listener
{
public:
    explicit listener(const std::string& name)
        : m_transport(
              {"127.0.0.1", 0, host_id(name)},
              [this](const protocol::Envelope& envelope)
              {
                  absl::MutexLock lock(&m_mutex);
                  m_heard.push_back(envelope.from_host());
              },
              [this](const host_id&, std::uint32_t version)
              {
                  absl::MutexLock lock(&m_mutex);
                  m_versions.push_back(version);
              })
    {
        m_transport.start();
    }

    peer_transport& transport()
    {
        return m_transport;
    }

    std::size_t heard()
    {
        absl::MutexLock lock(&m_mutex);
        return m_heard.size();
    }

    std::vector<std::uint32_t> versions()
    {
        absl::MutexLock lock(&m_mutex);
        return m_versions;
    }

private:
    absl::Mutex m_mutex;
    std::vector<std::string> m_heard;
    std::vector<std::uint32_t> m_versions;
    peer_transport m_transport;
};

protocol::Envelope make_envelope()
{
    protocol::Envelope envelope;
    envelope.mutable_gossip()->set_sequence(1);
    return envelope;
}

TEST(peer_transport, carries_messages)
{
    listener one("one");
    listener other("other");
    one.transport().send(other.transport().address(), make_envelope());
    test::wait_until([&] { return other.heard() == 1; }, "it is heard");
}

TEST(peer_transport, does_not_hear_a_peer_of_another_version)
{
    listener here("here");
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::push);
    socket.connect("tcp://" + here.transport().address());
    auto envelope = make_envelope();
    envelope.set_protocol_version(protocol_version + 1);
    socket.send(zmq::buffer(envelope.SerializeAsString()),
                zmq::send_flags::none);
    socket.send(zmq::str_buffer("no envelope at all \xff"),
                zmq::send_flags::none);
    test::wait_until([&] { return here.versions().size() == 2; },
                     "both are told apart");
    EXPECT_EQ(protocol_version + 1, here.versions()[0]);
    EXPECT_EQ(0U, here.heard());
}

TEST(peer_transport, is_cut_one_way_at_a_time)
{
    listener one("one");
    listener other("other");
    const auto& address_of_one = one.transport().address();
    const auto& address_of_other = other.transport().address();
    one.transport().set_cut(address_of_other, cut_direction::outgoing, true);
    one.transport().send(address_of_other, make_envelope());
    other.transport().send(address_of_one, make_envelope());
    test::wait_until([&] { return one.heard() == 1; }, "the open way works");
    one.transport().set_cut(address_of_other, cut_direction::outgoing, false);
    one.transport().send(address_of_other, make_envelope());
    test::wait_until([&] { return other.heard() == 1; }, "both ways work");
    EXPECT_EQ(1U, other.heard()) << "what was sent during the cut is lost";
}

RC_GTEST_PROP(request_codec, brings_back_what_was_sent, ())
{
    request_progress progress;
    progress.from = token_position(*rc::gen::inRange(0, 1000));
    progress.tokens = *rc::gen::arbitrary<std::vector<std::string>>();
    progress.upstream = upstream_id(*rc::gen::arbitrary<std::string>());
    progress.may_have_run = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>())
    {
        progress.error =
            request_error(503, "code", "message", verdict::may_have_run,
                          std::chrono::milliseconds(7));
    }
    const auto back = from_wire(to_wire(request_id("r"), progress));
    RC_ASSERT(back.from == progress.from);
    RC_ASSERT(back.tokens == progress.tokens);
    RC_ASSERT(back.upstream == progress.upstream);
    RC_ASSERT(back.may_have_run == progress.may_have_run);
    RC_ASSERT(back.error.has_value() == progress.error.has_value());
    if (back.error)
    {
        RC_ASSERT(back.error->run() == progress.error->run());
        RC_ASSERT(back.error->retry_after() == progress.error->retry_after());
    }
}

} // namespace
} // namespace daleshelf
