#include "limit_service.hpp"

#include <array>
#include <upstream_limits/limit_message.hpp>

namespace daleshelf
{

namespace
{

// Batches updates. Four gossip hops reach 580 hosts in 0.2 s.
constexpr milliseconds gossip_delay{50};
constexpr std::chrono::seconds idle_timeout{60};
// 12 records of 45 bytes every 2 s are under 300 bytes a second.
constexpr std::chrono::seconds repeat_interval{2};
constexpr std::size_t records_per_repetition = 12;
// 3 KB per message; further updates follow after the next delay.
constexpr std::size_t records_per_message = 64;
constexpr std::array limit_kinds{limit_kind::requests, limit_kind::rejections};

std::vector<limit_record> with_kind(std::vector<limit_record> records,
                                    limit_kind kind)
{
    for (auto& record : records)
    {
        record.kind = kind;
    }
    return records;
}

} // namespace

limit_service::limit_service(gateway_state& state, peer_exchange& peers)
    : m_state(state), m_peers(peers)
{
    peers.set_limit_listener([this](std::string_view bytes)
                             { receive(bytes); });
    peers.add_start_listener([this](const std::string& address)
                             { send_known(address); });
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
        co_await m_state.limit_updates.wait_for(idle_timeout);
        timer.expires_after(gossip_delay);
        co_await timer.async_wait(use_result);
        apply_updates();
    }
}

// The limits of a kind.
limit_table& limit_service::table(limit_kind kind)
{
    return kind == limit_kind::requests ? m_state.quota.shared().limits()
                                        : m_state.slots.limits().table();
}

void limit_service::apply_updates()
{
    for (const auto kind : limit_kinds)
    {
        auto& limits = table(kind);
        std::vector<limit_record> records;
        for (auto& update : limits.take_updates(records_per_message))
        {
            update.record.kind = kind;
            apply_limit_change(m_state, update);
            records.push_back(update.record);
        }
        if (!records.empty())
        {
            m_peers.send_to_sample(encode_limits(records));
        }
        if (limits.has_updates())
        {
            m_state.limit_updates.notify();
        }
    }
}

awaitable<void> limit_service::repeat_known()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        timer.expires_after(repeat_interval);
        co_await timer.async_wait(use_result);
        for (const auto kind : limit_kinds)
        {
            const auto records = with_kind(
                table(kind).next_to_repeat(records_per_repetition), kind);
            if (!records.empty())
            {
                m_peers.send_to_random_peer(encode_limits(records));
            }
        }
    }
}

void limit_service::receive(std::string_view bytes)
{
    const auto records = decode_limits(bytes);
    if (!records)
    {
        return;
    }
    bool has_rejection_limits = false;
    for (const auto& record : *records)
    {
        if (record.kind == limit_kind::requests)
        {
            m_state.quota.shared().merge_limit(record, gateway_state::now());
            continue;
        }
        has_rejection_limits =
            table(record.kind).merge(record, gateway_state::now()) ||
            has_rejection_limits;
    }
    if (has_rejection_limits)
    {
        m_state.slots.apply_limits();
    }
    const bool has_updates = table(limit_kind::requests).has_updates() ||
                             table(limit_kind::rejections).has_updates();
    if (has_updates)
    {
        m_state.limit_updates.notify();
    }
}

void limit_service::send_known(const std::string& address)
{
    for (const auto kind : limit_kinds)
    {
        const auto known =
            with_kind(table(kind).newest(records_per_message), kind);
        if (!known.empty())
        {
            m_peers.send_to_peer(address, encode_limits(known));
        }
    }
}

} // namespace daleshelf
