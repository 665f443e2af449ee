#include "limit_service.hpp"

#include <upstream_limits/limit_message.hpp>

namespace daleshelf
{

namespace
{

// Updates wait for others that long; four hops reach 580 hosts in 0.2 s.
constexpr milliseconds gossip_pause{50};
constexpr std::chrono::seconds idle_time{60};
// A repetition of 12 records of 45 bytes every 2 s is under 300 bytes a second.
constexpr std::chrono::seconds repeat_pause{2};
constexpr std::size_t records_repeated = 12;
// 3 KB; further updates follow after the next pause.
constexpr std::size_t most_records = 64;

} // namespace

limit_service::limit_service(gateway_state& state, peer_exchange& peers)
    : m_state(state), m_peers(peers)
{
    peers.set_limit_listener([this](std::string_view bytes) { take(bytes); });
    peers.add_start_listener([this](const std::string& address)
                             { greet(address); });
}

void limit_service::start()
{
    asio::co_spawn(
        m_state.context, [this] { return send_updates(); }, asio::detached);
    asio::co_spawn(
        m_state.context, [this] { return repeat_known(); }, asio::detached);
}

awaitable<void> limit_service::send_updates()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        co_await m_state.limit_updates.wait_for(idle_time);
        timer.expires_after(gossip_pause);
        co_await timer.async_wait(use_result);
        apply_updates();
    }
}

void limit_service::apply_updates()
{
    auto& limits = m_state.quota.shared().limits();
    std::vector<limit_record> records;
    for (const auto& update : limits.take_updates(most_records))
    {
        apply_limit_change(m_state, update);
        records.push_back(update.record);
    }
    if (!records.empty())
    {
        m_peers.tell_some(encode_limits(records));
    }
    if (limits.has_updates())
    {
        m_state.limit_updates.notify();
    }
}

awaitable<void> limit_service::repeat_known()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        timer.expires_after(repeat_pause);
        co_await timer.async_wait(use_result);
        const auto records =
            m_state.quota.shared().limits().next_to_repeat(records_repeated);
        if (!records.empty())
        {
            m_peers.tell_any(encode_limits(records));
        }
    }
}

void limit_service::take(std::string_view bytes)
{
    const auto records = decode_limits(bytes);
    if (!records)
    {
        return;
    }
    auto& quota = m_state.quota.shared();
    for (const auto& record : *records)
    {
        quota.merge_limit(record, gateway_state::now());
    }
    if (quota.limits().has_updates())
    {
        m_state.limit_updates.notify();
    }
}

void limit_service::greet(const std::string& address)
{
    const auto known = m_state.quota.shared().limits().newest(most_records);
    if (!known.empty())
    {
        m_peers.tell_one(address, encode_limits(known));
    }
}

} // namespace daleshelf
