#include "quota_machine.hpp"

namespace daleshelf
{

namespace
{

// As services/gateway has them.
constexpr absl::Duration pause = absl::Milliseconds(250);
constexpr absl::Duration ask_time = absl::Milliseconds(50);

quota_options options()
{
    return {fleet_model::window, fleet_model::overshoot, fleet_model::slack};
}

} // namespace

quota_machine::quota_machine(fleet_model& model, identity self)
    : m_model(model)
    , m_self(std::move(self))
    , m_quota(m_self.name, m_self.hall, m_self.started, options())
{
}

void quota_machine::start()
{
    m_quota.set_limits(m_model.tenants());
    for (const auto& [name, hall] : m_model.listed())
    {
        m_quota.roster().list(name, hall, m_model.now());
    }
    m_quota.note_fleet(!m_self.is_first_start, m_model.now());
    m_model.after(m_self.name, absl::Milliseconds(m_model.random(5, 250)),
                  [this] { tick(); });
}

void quota_machine::tick()
{
    for (const auto& message : m_quota.tick(m_model.now()))
    {
        send(message);
    }
    m_model.after(m_self.name,
                  pause + absl::Milliseconds(m_model.random(0, 20)),
                  [this] { tick(); });
}

void quota_machine::send(const addressed_quota_message& message)
{
    m_model.send(m_self.name, message.to, encode(message.message));
}

void quota_machine::receive(const std::string& bytes)
{
    const auto message = decode_quota_message(bytes);
    if (!message)
    {
        return;
    }
    if (auto reply = m_quota.receive(*message, m_model.now()))
    {
        send({message->from, std::move(*reply)});
    }
    const auto waiting = m_waiting.find(message->answer_to);
    if (waiting != m_waiting.end() && m_quota.has_answer(message->answer_to))
    {
        const auto claim = waiting->second;
        m_waiting.erase(waiting);
        go_on(claim);
    }
}

void quota_machine::take(double cost, std::function<void(bool)> answer)
{
    go_on(std::make_shared<waiting_claim>(waiting_claim{
        m_quota.open_claim(tenant, cost, m_model.now()), std::move(answer)}));
}

void quota_machine::go_on(const std::shared_ptr<waiting_claim>& waiting)
{
    const auto step = m_quota.advance(waiting->claim, m_model.now());
    if (step.what != claim_step::outcome::asking)
    {
        waiting->answer(step.what == claim_step::outcome::granted);
        return;
    }
    send(*step.ask);
    const auto ask = step.ask->message.sequence;
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
