#include "peer_service.hpp"

#include "control_thread.hpp"
#include "node_state.hpp"
#include "peer_view.hpp"

#include <absl/time/clock.h>

#include <base/digest.hpp>
#include <memory>
#include <protocol/gossip_codec.hpp>
#include <telemetry/log.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr absl::Duration tick_interval = absl::Milliseconds(100);

member make_self(const node_state& node, const std::string& address)
{
    member self;
    self.id = node.host();
    self.hall = node.hall();
    self.address = address;
    self.started = incarnation(absl::ToUnixMicros(absl::Now()));
    return self;
}

} // namespace

peer_service::peer_service(control_thread& control, node_state& node,
                           const peer_transport_options& options,
                           std::vector<std::string> seeds,
                           std::function<void(const host_id&)> on_host_leaving)
    : m_control(control)
    , m_node(node)
    , m_on_host_leaving(std::move(on_host_leaving))
    , m_transport(
          options,
          [this](const protocol::Envelope& envelope) { receive(envelope); },
          [](const host_id& host, std::uint32_t version)
          {
              log(events::peer_version_unknown,
                  {{"host", host.value()},
                   {"version", static_cast<std::int64_t>(version)}});
          })
    , m_membership(make_self(node, m_transport.address()), membership_options(),
                   stable_hash(node.host().value() + m_transport.address()))
{
    m_membership.set_seeds(std::move(seeds));
}

void peer_service::start()
{
    m_transport.start();
    m_control.post([this] { tick(); });
}

void peer_service::stop()
{
    m_control.post([this] { send_all(m_membership.leave()); });
    m_control.stop();
    m_transport.stop();
}

void peer_service::tick()
{
    send_all(m_membership.on_tick(absl::Now()));
    publish();
    m_control.after(tick_interval, [this] { tick(); });
}

void peer_service::receive(const protocol::Envelope& envelope)
{
    if (envelope.content_case() == protocol::Envelope::kGossip)
    {
        m_control.post(
            [this, message = from_wire(envelope.gossip())]
            {
                send_all(m_membership.on_message(message, absl::Now()));
                publish();
            });
        return;
    }
    const auto found = m_handlers.find(envelope.content_case());
    if (found != m_handlers.end())
    {
        found->second(envelope.from_address(), envelope);
    }
}

void peer_service::send_all(const std::vector<outgoing_gossip>& messages)
{
    for (const auto& item : messages)
    {
        protocol::Envelope envelope;
        *envelope.mutable_gossip() = to_wire(item.message);
        m_transport.send(item.address, std::move(envelope));
    }
}

void peer_service::publish()
{
    if (m_membership.revision() == m_published_revision)
    {
        return;
    }
    m_published_revision = m_membership.revision();
    auto view = std::make_shared<peer_view>();
    view->members = m_membership.members();
    view->leaving = m_membership.leaving();
    m_node.set_peers(view);
    for (const auto& host : view->leaving)
    {
        if (m_known_leaving.insert(host).second)
        {
            m_on_host_leaving(host);
        }
    }
    if (m_on_view)
    {
        m_on_view();
    }
}

void peer_service::set_handler(protocol::Envelope::ContentCase content,
                               content_handler handler)
{
    m_handlers[content] = std::move(handler);
}

void peer_service::set_view_handler(std::function<void()> handler)
{
    m_on_view = std::move(handler);
}

bool peer_service::send(const host_id& host, protocol::Envelope envelope)
{
    const auto view = m_node.peers();
    const auto found = view->members.find(host);
    if (found == view->members.end())
    {
        return false;
    }
    m_transport.send(found->second.address, std::move(envelope));
    return true;
}

void peer_service::send(const std::string& address, protocol::Envelope envelope)
{
    m_transport.send(address, std::move(envelope));
}

void peer_service::ask(const std::vector<host_id>& hosts)
{
    m_control.post([this, hosts]
                   { send_all(m_membership.request_states(hosts)); });
}

void peer_service::set_applied(log_offset applied)
{
    m_control.post([this, applied] { m_membership.set_applied(applied); });
}

void peer_service::set_draining()
{
    m_control.post([this] { m_membership.set_draining(); });
}

void peer_service::add_leaving(const host_id& host)
{
    m_control.post(
        [this, host]
        {
            m_known_leaving.insert(host);
            m_membership.add_leaving(host);
            publish();
        });
}

void peer_service::set_cut(const std::string& address, cut_direction direction,
                           bool is_cut)
{
    m_transport.set_cut(address, direction, is_cut);
}

} // namespace daleshelf
