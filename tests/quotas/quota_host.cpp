#include "quota_host.hpp"

namespace daleshelf
{

namespace
{

// As services/gateway has them.
constexpr absl::Duration pause = absl::Milliseconds(250);
constexpr std::size_t most_told = 8;
constexpr absl::Duration ask_time = absl::Milliseconds(100);

quota_options options()
{
    return {fleet_model::window, fleet_model::overshoot, fleet_model::slack};
}

} // namespace

quota_host::quota_host(fleet_model& model, identity self)
    : m_model(model)
    , m_self(std::move(self))
    , m_quota(m_self.name, m_self.hall, m_self.started, options())
{
}

void quota_host::start()
{
    m_quota.set_limits(m_model.workspaces());
    // The store's answers take their time: others list meanwhile.
    m_model.after(m_self.name, absl::Milliseconds(m_model.random(5, 300)),
                  [this]
                  {
                      m_model.publish(m_self.name);
                      m_model.after(m_self.name,
                                    absl::Milliseconds(m_model.random(5, 50)),
                                    [this] { list(); });
                  });
    m_model.after(m_self.name, absl::Milliseconds(m_model.random(5, 250)),
                  [this] { tick(); });
}

void quota_host::stop()
{
    m_quota.stop();
    m_is_stopping = true;
}

void quota_host::list()
{
    for (const auto& [name, hall] : m_model.listed())
    {
        m_quota.members().add_host(name, hall, m_model.now());
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
                  pause + absl::Milliseconds(m_model.random(0, 20)),
                  [this] { tick(); });
}

// To the next eight that it knows, as peer_exchange does.
void quota_host::send_state()
{
    machine_state state;
    state.self = {m_self.name, m_self.name.value(), m_self.hall};
    state.started = m_self.started;
    state.hall = m_self.hall;
    state.is_stopping = m_is_stopping;
    state.fleet_size = static_cast<std::int64_t>(m_quota.fleet_size());
    const auto bytes = encode(state);
    auto peer = m_known.upper_bound(m_last_told);
    for (std::size_t index = 0; index < std::min(m_known.size(), most_told);
         ++index)
    {
        if (peer == m_known.end())
        {
            peer = m_known.begin();
        }
        m_model.send(m_self.name, *peer, bytes);
        m_last_told = *peer;
        ++peer;
    }
}

void quota_host::send(const addressed_quota_message& message)
{
    m_model.send(m_self.name, message.to, encode(message.message));
}

void quota_host::receive(const std::string& bytes)
{
    if (const auto state = decode_machine_state(bytes))
    {
        hear(*state);
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
    const auto waiting = m_waiting.find(message->in_reply_to);
    if (waiting != m_waiting.end() && m_quota.has_reply(message->in_reply_to))
    {
        const auto claim = waiting->second;
        m_waiting.erase(waiting);
        go_on(claim);
    }
}

void quota_host::hear(const machine_state& state)
{
    m_known.insert(state.self.name);
    m_quota.update_peer({state.self.name, state.hall, state.started,
                         state.is_stopping, state.fleet_size},
                        m_model.now());
}

void quota_host::take(double cost, std::function<void(bool)> answer)
{
    go_on(std::make_shared<waiting_claim>(
        waiting_claim{m_quota.open_claim(workspace, cost, m_model.now()),
                      std::move(answer)}));
}

void quota_host::go_on(const std::shared_ptr<waiting_claim>& waiting)
{
    const auto step = m_quota.advance(waiting->claim, m_model.now());
    if (step.result != claim_step::outcome::pending)
    {
        waiting->answer(step.result == claim_step::outcome::granted);
        return;
    }
    send(*step.request);
    const auto ask = step.request->message.sequence;
    m_waiting[ask] = waiting;
    m_model.after(m_self.name, ask_time,
                  [this, ask]
                  {
                      const auto open = m_waiting.find(ask);
                      if (open != m_waiting.end())
                      {
                          const auto claim = open->second;
                          m_waiting.erase(open);
                          go_on(claim);
                      }
                  });
}

} // namespace daleshelf
