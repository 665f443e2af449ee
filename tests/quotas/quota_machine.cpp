#include "quota_machine.hpp"

namespace daleshelf
{

namespace
{

constexpr absl::Duration pause = absl::Milliseconds(250);
constexpr absl::Duration history_time = absl::Seconds(3);

} // namespace

quota_machine::quota_machine(fleet_model& model, identity self)
    : m_model(model)
    , m_self(std::move(self))
    , m_table({m_self.name, m_self.name.value()}, m_self.started,
              peer_options())
    , m_quota(fleet_model::window, m_self.is_first_start
                                       ? token_quota::initial_use::none
                                       : token_quota::initial_use::unknown)
{
}

void quota_machine::start()
{
    m_quota.set_limits(m_model.tenants(), m_model.now());
    for (const auto& [name, hall] : m_model.listed())
    {
        m_table.add_address({name, name.value()}, m_model.now());
    }
    m_model.after(m_self.name, absl::Milliseconds(m_model.random(5, 250)),
                  [this] { tick(); });
}

void quota_machine::tick()
{
    const auto now = m_model.now();
    (void)m_table.forget_silent(now);
    m_quota.begin_interval(m_table.reached(now), m_table.size(), now);
    send_to_some(encode(own_state()));
    send_use_notice();
    m_model.after(m_self.name,
                  pause + absl::Milliseconds(m_model.random(0, 20)),
                  [this] { tick(); });
}

void quota_machine::send_to_some(const std::string& bytes)
{
    const auto& peers = m_table.peers();
    const auto most = static_cast<std::size_t>(peer_options().many_peers);
    auto peer = peers.upper_bound(m_last_told);
    for (std::size_t index = 0; index < std::min(peers.size(), most); ++index)
    {
        if (peer == peers.end())
        {
            peer = peers.begin();
        }
        m_model.send(m_self.name, peer->first, bytes);
        m_last_told = peer->first;
        ++peer;
    }
}

void quota_machine::send_use_notice()
{
    machine_state notice;
    notice.is_use_notice = true;
    for (const auto& [name, used] : m_quota.own_use())
    {
        auto& told = m_told_use[name];
        if (used != told && m_quota.is_pressed(name))
        {
            notice.uses[name] = used;
            told = used;
        }
    }
    if (m_table.tells_all_at_once() || notice.uses.empty())
    {
        return;
    }
    notice.self = {m_self.name, m_self.name.value()};
    notice.started = m_self.started;
    notice.sequence = ++m_sequence;
    const auto bytes = encode(notice);
    for (const auto& [name, peer] : m_table.peers())
    {
        m_model.send(m_self.name, name, bytes);
    }
}

machine_state quota_machine::own_state()
{
    machine_state state;
    state.self = {m_self.name, m_self.name.value()};
    state.started = m_self.started;
    state.sequence = ++m_sequence;
    state.hall = m_self.hall;
    state.uses = m_quota.own_use();
    const auto now = m_model.now();
    if (now < m_tells_history_until && m_quota.knows_history(now))
    {
        state.window_use = m_quota.history(now);
    }
    return state;
}

void quota_machine::receive(const std::string& bytes)
{
    auto state = decode_machine_state(bytes);
    if (!state)
    {
        return;
    }
    const auto now = m_model.now();
    const auto name = state->self.name;
    const bool is_notice = state->is_use_notice;
    const auto change = m_table.receive(std::move(*state), now);
    for (const auto& [of, used] : change.new_use)
    {
        m_quota.count_peer(of, used, now);
    }
    if (!change.is_news || is_notice)
    {
        return;
    }
    const auto& newest = m_table.peers().at(name).state;
    if (change.is_start)
    {
        m_tells_history_until =
            now + std::max(history_time, m_table.send_pause() * 2);
    }
    if (newest.started < m_self.started && !newest.window_use.empty())
    {
        (void)m_quota.adopt(newest.window_use,
                            token_quota::history_source::peer, now);
    }
}

void quota_machine::take(double cost, const std::function<void(bool)>& answer)
{
    answer(m_quota.try_take(tenant, cost, m_model.now()));
}

} // namespace daleshelf
