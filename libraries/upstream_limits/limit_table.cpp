#include "limit_table.hpp"

#include <algorithm>
#include <limits>

namespace daleshelf
{

namespace
{

// Records are kept for at least this time, so that repetition makes up for lost
// updates.
constexpr absl::Duration tombstone_lifetime = absl::Seconds(60);
// Bounds the entries that a faulty peer can add; the fleet has fewer upstreams.
constexpr std::size_t max_entries = 8192;
// Orders responses to one host that arrive within one millisecond.
constexpr absl::Duration min_step = absl::Milliseconds(1);

// Rounds to the precision on the wire, so that merging a copy of a record
// changes nothing.
absl::Time to_whole_ms(absl::Time at)
{
    return absl::FromUnixMillis(absl::ToUnixMillis(at));
}

bool is_newer(const limit_record& left, const limit_record& right)
{
    if (left.server.is_newer_than(right.server))
    {
        return true;
    }
    if (right.server.is_newer_than(left.server))
    {
        return false;
    }
    if (left.advertised_at != right.advertised_at)
    {
        return left.advertised_at > right.advertised_at;
    }
    // Of two equally new records the lower limit is the safe one.
    constexpr double unlimited = std::numeric_limits<double>::infinity();
    return left.per_second.value_or(unlimited) <
           right.per_second.value_or(unlimited);
}

} // namespace

bool limit_table::record_response(const upstream_response& observed,
                                  absl::Time now, absl::Time time_of_day)
{
    const auto known = m_entries.find(observed.server.id);
    if (known == m_entries.end())
    {
        return observed.per_second &&
               replace({observed.server, observed.per_second,
                        to_whole_ms(time_of_day)},
                       limit_origin::response, now);
    }
    const auto& [record, learned_at] = known->second;
    if (record.server.is_newer_than(observed.server))
    {
        return false;
    }
    const bool is_same_incarnation =
        !observed.server.is_newer_than(record.server);
    const bool may_be_older =
        is_same_incarnation && observed.sent_at < learned_at;
    if (!observed.per_second && may_be_older)
    {
        return false;
    }
    if (is_same_incarnation && record.per_second == observed.per_second)
    {
        return false;
    }
    const auto advertised_at =
        std::max(to_whole_ms(time_of_day), record.advertised_at + min_step);
    return replace({observed.server, observed.per_second, advertised_at},
                   limit_origin::response, now);
}

bool limit_table::merge(const limit_record& peer_record, absl::Time now)
{
    const auto known = m_entries.find(peer_record.server.id);
    if (known == m_entries.end() && m_entries.size() >= max_entries)
    {
        return false;
    }
    if (known != m_entries.end() &&
        !is_newer(peer_record, known->second.record))
    {
        return false;
    }
    return replace(peer_record, limit_origin::peer, now);
}

bool limit_table::replace(const limit_record& record, limit_origin origin,
                          absl::Time now)
{
    const auto previous = limit_of(record.server.id);
    m_entries[record.server.id] = {record, now};
    m_updates.push_back({record, previous, origin});
    return true;
}

std::optional<double> limit_table::limit_of(const upstream_id& server) const
{
    const auto* record = find(server);
    return record == nullptr ? std::nullopt : record->per_second;
}

const limit_record* limit_table::find(const upstream_id& server) const
{
    const auto found = m_entries.find(server);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::size_t limit_table::limited_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto& item)
                      { return item.second.record.per_second.has_value(); }));
}

std::vector<limit_update> limit_table::take_updates(std::size_t max_count)
{
    const auto count = std::min(max_count, m_updates.size());
    const auto end = m_updates.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<limit_update> taken(m_updates.begin(), end);
    m_updates.erase(m_updates.begin(), end);
    return taken;
}

std::vector<limit_record> limit_table::next_to_repeat(std::size_t max_count)
{
    std::vector<limit_record> records;
    auto next = m_entries.upper_bound(m_last_repeated);
    while (records.size() < std::min(max_count, m_entries.size()))
    {
        if (next == m_entries.end())
        {
            next = m_entries.begin();
        }
        records.push_back(next->second.record);
        m_last_repeated = next->first;
        ++next;
    }
    return records;
}

std::vector<limit_record> limit_table::newest(std::size_t max_count) const
{
    std::vector<limit_record> records;
    for (const auto& [server, known] : m_entries)
    {
        if (known.record.per_second)
        {
            records.push_back(known.record);
        }
    }
    std::sort(records.begin(), records.end(),
              [](const auto& left, const auto& right)
              { return left.advertised_at > right.advertised_at; });
    records.resize(std::min(records.size(), max_count));
    return records;
}

std::vector<upstream_id> limit_table::evict(
    const std::function<bool(const upstream_incarnation&)>& is_gone,
    absl::Time now)
{
    std::vector<upstream_id> evicted;
    for (auto known = m_entries.begin(); known != m_entries.end();)
    {
        const auto& [record, learned_at] = known->second;
        const bool is_kept =
            now - learned_at < tombstone_lifetime ||
            (record.per_second.has_value() && !is_gone(record.server));
        if (is_kept)
        {
            ++known;
            continue;
        }
        evicted.push_back(known->first);
        known = m_entries.erase(known);
    }
    return evicted;
}

} // namespace daleshelf
