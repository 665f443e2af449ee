#include "limit_table.hpp"

#include <algorithm>
#include <limits>

namespace daleshelf
{

namespace
{

// Within this time repetition makes up for lost updates.
constexpr absl::Duration tombstone_time = absl::Seconds(60);
// Bounds what a faulty peer can fill; the fleet has fewer upstreams.
constexpr std::size_t most_entries = 8192;
// Orders the answers of one host that come within a tick of its clock.
constexpr absl::Duration least_step = absl::Milliseconds(1);

// As it is sent, so that a record merges with its own copy to no change.
absl::Time to_whole_ms(absl::Time at)
{
    return absl::FromUnixMillis(absl::ToUnixMillis(at));
}

bool is_newer(const limit_record& one, const limit_record& other)
{
    if (one.server.is_newer_than(other.server))
    {
        return true;
    }
    if (other.server.is_newer_than(one.server))
    {
        return false;
    }
    if (one.named_at != other.named_at)
    {
        return one.named_at > other.named_at;
    }
    // The lower limit is the safe one of two that are equally new.
    constexpr double unlimited = std::numeric_limits<double>::infinity();
    return one.per_second.value_or(unlimited) <
           other.per_second.value_or(unlimited);
}

} // namespace

bool limit_table::record_answer(const answer& seen, absl::Time now,
                                absl::Time time_of_day)
{
    const auto known = m_entries.find(seen.server.id);
    if (known == m_entries.end())
    {
        return seen.per_second &&
               replace({seen.server, seen.per_second, to_whole_ms(time_of_day)},
                       limit_origin::answer, now);
    }
    const auto& [record, learned_at] = known->second;
    if (record.server.is_newer_than(seen.server))
    {
        return false;
    }
    const bool is_same_life = !seen.server.is_newer_than(record.server);
    const bool may_be_older = is_same_life && seen.sent_at < learned_at;
    if (!seen.per_second && may_be_older)
    {
        return false;
    }
    if (is_same_life && record.per_second == seen.per_second)
    {
        return false;
    }
    const auto named_at =
        std::max(to_whole_ms(time_of_day), record.named_at + least_step);
    return replace({seen.server, seen.per_second, named_at},
                   limit_origin::answer, now);
}

bool limit_table::merge(const limit_record& told, absl::Time now)
{
    const auto known = m_entries.find(told.server.id);
    if (known == m_entries.end() && m_entries.size() >= most_entries)
    {
        return false;
    }
    if (known != m_entries.end() && !is_newer(told, known->second.record))
    {
        return false;
    }
    return replace(told, limit_origin::peer, now);
}

bool limit_table::replace(const limit_record& record, limit_origin origin,
                          absl::Time now)
{
    const auto before = limit_of(record.server.id);
    m_entries[record.server.id] = {record, now};
    m_updates.push_back({record, before, origin});
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

std::size_t limit_table::limited() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto& item)
                      { return item.second.record.per_second.has_value(); }));
}

std::vector<limit_update> limit_table::take_updates(std::size_t most)
{
    const auto count = std::min(most, m_updates.size());
    const auto end = m_updates.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<limit_update> taken(m_updates.begin(), end);
    m_updates.erase(m_updates.begin(), end);
    return taken;
}

std::vector<limit_record> limit_table::next_in_turn(std::size_t most)
{
    std::vector<limit_record> records;
    auto next = m_entries.upper_bound(m_last_repeated);
    while (records.size() < std::min(most, m_entries.size()))
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

std::vector<limit_record> limit_table::newest(std::size_t most) const
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
              [](const auto& one, const auto& other)
              { return one.named_at > other.named_at; });
    records.resize(std::min(records.size(), most));
    return records;
}

std::vector<upstream_id> limit_table::evict(
    const std::function<bool(const upstream_incarnation&)>& is_gone,
    absl::Time now)
{
    std::vector<upstream_id> forgotten;
    for (auto known = m_entries.begin(); known != m_entries.end();)
    {
        const auto& [record, learned_at] = known->second;
        const bool is_kept =
            now - learned_at < tombstone_time ||
            (record.per_second.has_value() && !is_gone(record.server));
        if (is_kept)
        {
            ++known;
            continue;
        }
        forgotten.push_back(known->first);
        known = m_entries.erase(known);
    }
    return forgotten;
}

} // namespace daleshelf
