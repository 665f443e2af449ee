#include "quota_host.hpp"

namespace daleshelf
{

namespace
{

// Values of services/gateway.
constexpr absl::Duration tick_interval = absl::Milliseconds(250);
constexpr std::size_t states_per_tick = 8;
constexpr absl::Duration reply_timeout = absl::Milliseconds(100);

quota_options options()
{
    return {fleet_model::window, fleet_model::overshoot, fleet_model::slack};
}

} // namespace

quota_host::quota_host(fleet_model& model, identity self)
    : m_model(model)
    , m_self(std::move(self))
    , m_quota(m_self.name, m_self.hall, m_self.host_incarnation, options())
{
}

void quota_host::start()
{
    m_quota.set_limits(m_model.workspaces());
    // The store responds with a delay, so other hosts read the list meanwhile.
    m_model.after(m_self.name, absl::Milliseconds(m_model.random(5, 300)),
                  [this]
                  {
                      m_model.publish(m_self.name);
                      m_model.after(m_self.name,
                                    absl::Milliseconds(m_model.random(5, 50)),
                                    [this] { read_host_list(); });
                  });
    m_model.after(m_self.name, absl::Milliseconds(m_model.random(5, 250)),
                  [this] { tick(); });
}

void quota_host::stop()
{
    m_quota.stop();
    m_is_stopping = true;
}

void quota_host::read_host_list()
{
    for (const auto& [name, hall] : m_model.listed())
    {
        m_quota.fleet().add_host(name, hall, m_model.now());
        if (name != m_self.name)
        {
            m_known.insert(name);
        }
    }
    m_quota.record_fleet_discovery(!m_self.is_first_start, m_model.now());
}

void quota_host::tick()
{
    for (const auto& message : m_quota.tick(m_model.now()))
    {
        send(message);
    }
    send_state();
    m_model.after(m_self.name,
                  tick_interval + absl::Milliseconds(m_model.random(0, 20)),
                  [this] { tick(); });
}

// Sends the state to the next eight known hosts, like peer_exchange.
void quota_host::send_state()
{
    host_state state;
    state.self = {m_self.name, m_self.name.value(), m_self.hall};
    state.started = m_self.host_incarnation;
    state.hall = m_self.hall;
    state.is_stopping = m_is_stopping;
    state.fleet_size = static_cast<std::int64_t>(m_quota.fleet_size());
    const auto bytes = encode(state);
    auto peer = m_known.upper_bound(m_last_recipient);
    for (std::size_t index = 0;
         index < std::min(m_known.size(), states_per_tick); ++index)
    {
        if (peer == m_known.end())
        {
            peer = m_known.begin();
        }
        m_model.send(m_self.name, *peer, bytes);
        m_last_recipient = *peer;
        ++peer;
    }
}

void quota_host::send(const addressed_quota_message& message)
{
    m_model.send(m_self.name, message.to, encode(message.message));
}

void quota_host::receive(const std::string& bytes)
{
    if (const auto state = decode_host_state(bytes))
    {
        receive_state(*state);
        return;
    }
    const auto message = decode_quota_message(bytes);
    if (!message)
    {
        return;
    }
    m_known.insert(message->from);
    if (auto reply = m_quota.receive(*message, m_model.now()))
    {
        send({message->from, std::move(*reply)});
    }
    const auto replied = m_pending_claims.find(message->in_reply_to);
    if (replied != m_pending_claims.end() &&
        m_quota.has_reply(message->in_reply_to))
    {
        const auto claim = replied->second;
        m_pending_claims.erase(replied);
        continue_claim(claim);
    }
}

void quota_host::receive_state(const host_state& state)
{
    m_known.insert(state.self.name);
    m_quota.update_peer({state.self.name, state.hall, state.started,
                         state.is_stopping, state.fleet_size},
                        m_model.now());
}

void quota_host::take(double cost, std::function<void(bool)> on_result)
{
    continue_claim(std::make_shared<pending_claim>(
        pending_claim{m_quota.open_claim(workspace, cost, m_model.now()),
                      std::move(on_result)}));
}

void quota_host::continue_claim(
    const std::shared_ptr<pending_claim>& unfinished)
{
    const auto step = m_quota.advance(unfinished->claim, m_model.now());
    if (step.result != claim_step::status::pending)
    {
        unfinished->on_result(step.result == claim_step::status::granted);
        return;
    }
    send(*step.request);
    const auto request_sequence = step.request->message.sequence;
    m_pending_claims[request_sequence] = unfinished;
    m_model.after(m_self.name, reply_timeout,
                  [this, request_sequence]
                  {
                      const auto timed_out =
                          m_pending_claims.find(request_sequence);
                      if (timed_out != m_pending_claims.end())
                      {
                          const auto claim = timed_out->second;
                          m_pending_claims.erase(timed_out);
                          continue_claim(claim);
                      }
                  });
}

} // namespace daleshelf
