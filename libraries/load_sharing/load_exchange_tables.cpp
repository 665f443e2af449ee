// Selection of the table that a host uses.
#include "aggregator_rank.hpp"
#include "load_exchange.hpp"
#include "table_lifetime.hpp"

namespace daleshelf
{

namespace
{

// More hosts than a hall has, or aggregators a fleet.
constexpr std::size_t max_hosts = 1024;

} // namespace

std::optional<shared_loads> load_exchange::others(absl::Time now) const
{
    if (has_own_table(now))
    {
        return m_own_table;
    }
    const auto* table = newest_table(now);
    if (table == nullptr)
    {
        return std::nullopt;
    }
    auto report = table->message.report;
    if (const auto* own = find_own(table->message))
    {
        report.subtract(own->message.report);
    }
    return report;
}

absl::Time load_exchange::received_at(absl::Time now) const
{
    if (has_own_table(now))
    {
        return m_own_table_at;
    }
    const auto* table = newest_table(now);
    return table == nullptr ? absl::InfinitePast() : table->received_at;
}

// A frozen host does not use the table that it had made before.
bool load_exchange::has_own_table(absl::Time now) const
{
    return m_own_table && now - m_own_table_at < table_lifetime;
}

// @return the table of the highest-ranked aggregator that was heard recently.
// Tables that count a recent report of this host come first: the others may
// lack more hosts. One with an outdated report was made by a host that was
// frozen, or counts an earlier incarnation of this host.
const load_exchange::received_message*
load_exchange::newest_table(absl::Time now) const
{
    const received_message* chosen = nullptr;
    const auto order_of = [this](const load_message& table) {
        return std::pair(find_own(table) != nullptr,
                         rank_of(table.host, m_hall));
    };
    for (const auto& [host, received] : m_tables)
    {
        const auto& table = received.message;
        const bool is_outdated =
            table.included.contains(m_self) && find_own(table) == nullptr;
        if (is_outdated || now - received.received_at >= table_lifetime)
        {
            continue;
        }
        if (chosen == nullptr || order_of(table) > order_of(chosen->message))
        {
            chosen = &received;
        }
    }
    return chosen;
}

// @return the report of this host that the table counts, if it is recent
const load_exchange::own_report*
load_exchange::find_own(const load_message& table) const
{
    const auto included = table.included.find(m_self);
    if (included == table.included.end())
    {
        return nullptr;
    }
    for (const auto& sent : m_own_reports)
    {
        if (sent.message.sequence == included->second)
        {
            return &sent;
        }
    }
    return nullptr;
}

// @return whether the message is newer than the known one of its host
bool load_exchange::replace_older(messages_by_host& known, load_message message,
                                  absl::Time now)
{
    const auto order_of = [](const load_message& item)
    { return std::pair(item.started, item.sequence); };
    const auto found = known.find(message.host);
    if (found == known.end())
    {
        if (known.size() >= max_hosts)
        {
            return false;
        }
        const auto host = message.host;
        known.emplace(host, received_message{std::move(message), now});
        return true;
    }
    if (order_of(message) <= order_of(found->second.message))
    {
        return false;
    }
    found->second = {std::move(message), now};
    return true;
}

} // namespace daleshelf
