#include "slot_ledger.hpp"

#include <algorithm>
#include <utility>

namespace daleshelf
{

namespace
{

// Eight report intervals; a host that is paused for longer may have requests in
// flight that are no longer counted.
constexpr absl::Duration use_lifetime = absl::Seconds(2);
// Two report intervals: within them each host has reported its use, unless both
// datagrams were lost.
constexpr absl::Duration learning_time = absl::Milliseconds(500);
// The period in which an upstream counts its rejections, and a margin for
// rejections that are still on their way.
constexpr absl::Duration rejection_window = absl::Milliseconds(1100);
// Time after which one more of the withheld slots is granted again.
constexpr absl::Duration recovery_interval = absl::Seconds(2);
// An upstream without requests for less than this need not be learned again:
// hosts with requests in flight would have reported them.
constexpr absl::Duration idle_lifetime = absl::Minutes(1);
// The fleet has fewer upstreams; bounds what a faulty peer can add.
constexpr std::size_t max_upstreams = 8192;

} // namespace

void slot_ledger::report(const report_source& source, const slot_use& use,
                         absl::Time now)
{
    auto* state = use.rejection_limit ? find_current(use, now) : nullptr;
    if (state != nullptr)
    {
        (void)apply(*state, source, use, now);
    }
}

bool slot_ledger::take(const report_source& source, const slot_use& use,
                       bool is_complete, absl::Time now)
{
    if (!use.rejection_limit && !m_upstreams.contains(use.server.id))
    {
        return true;
    }
    auto* state = find_current(use, now);
    if (state == nullptr)
    {
        return false;
    }
    auto* holder = apply(*state, source, use, now);
    const bool is_learning =
        !is_complete && now - state->known_since < learning_time;
    if (holder == nullptr || is_learning || may_reject(*state, now))
    {
        return false;
    }
    recover_slots(*state, now);
    const auto granted =
        std::max<std::int64_t>(1, use.slots - state->withheld_slots);
    if (in_use(*state, now) >= granted)
    {
        return false;
    }
    holder->unsettled.push_back(source.sequence);
    return true;
}

// Returns the state of the upstream's incarnation, or null if a later one is
// known.
slot_ledger::upstream_state* slot_ledger::find_current(const slot_use& use,
                                                       absl::Time now)
{
    const auto known = m_upstreams.find(use.server.id);
    if (known != m_upstreams.end() &&
        !use.server.is_newer_than(known->second.server))
    {
        const bool is_outdated = known->second.server.is_newer_than(use.server);
        return is_outdated ? nullptr : &known->second;
    }
    if (known == m_upstreams.end() && m_upstreams.size() >= max_upstreams)
    {
        return nullptr;
    }
    auto& state = m_upstreams[use.server.id];
    state = {};
    state.server = use.server;
    state.known_since = now;
    return &state;
}

// @return the host's use, or null if a later report is known
slot_ledger::holder* slot_ledger::apply(upstream_state& state,
                                        const report_source& source,
                                        const slot_use& use, absl::Time now)
{
    state.reported_at = now;
    state.rejection_limit = use.rejection_limit.value_or(state.rejection_limit);
    const auto [entry, is_new] = state.holders.try_emplace(source.host);
    auto& known = entry->second;
    if (!is_new && source.host_incarnation < known.host_incarnation)
    {
        return nullptr;
    }
    const bool is_same_process =
        !is_new && source.host_incarnation == known.host_incarnation;
    if (is_same_process && source.sequence < known.sequence)
    {
        return nullptr;
    }
    if (is_same_process && use.rejected > known.rejected)
    {
        record_rejections(state, use.rejected - known.rejected, now);
    }
    auto unsettled = is_same_process ? std::move(known.unsettled)
                                     : std::vector<std::int64_t>();
    std::erase_if(unsettled, [&](std::int64_t sequence)
                  { return sequence < use.oldest_pending; });
    known = {source.host_incarnation,
             source.sequence,
             use.in_flight,
             use.rejected,
             now,
             std::move(unsettled)};
    return &known;
}

void slot_ledger::record_rejections(upstream_state& state, std::int64_t count,
                                    absl::Time now)
{
    constexpr std::int64_t max_recorded = 64;
    for (std::int64_t index = 0; index < std::min(count, max_recorded); ++index)
    {
        state.rejections.push_back(now);
    }
    // Requests that were in flight when the first one was rejected say nothing
    // about fewer slots.
    if (now - state.adjusted_at >= rejection_window)
    {
        ++state.withheld_slots;
        state.adjusted_at = now;
    }
}

void slot_ledger::recover_slots(upstream_state& state, absl::Time now)
{
    if (state.withheld_slots > 0 &&
        now - state.adjusted_at >= recovery_interval)
    {
        --state.withheld_slots;
        state.adjusted_at = now;
    }
}

// Whether one more rejection could be one too many: those in flight may be
// rejected too, so only half of the limit is used.
bool slot_ledger::may_reject(upstream_state& state, absl::Time now)
{
    while (!state.rejections.empty() &&
           now - state.rejections.front() >= rejection_window)
    {
        state.rejections.pop_front();
    }
    const auto recent = static_cast<double>(state.rejections.size());
    return recent > 0 && 2 * recent >= state.rejection_limit;
}

std::int64_t slot_ledger::in_use(const upstream_state& state, absl::Time now)
{
    std::int64_t sum = 0;
    for (const auto& [host, use] : state.holders)
    {
        if (now - use.reported_at >= use_lifetime)
        {
            continue;
        }
        sum += use.in_flight + static_cast<std::int64_t>(use.unsettled.size());
    }
    return sum;
}

std::int64_t slot_ledger::in_use(const upstream_id& server,
                                 absl::Time now) const
{
    const auto known = m_upstreams.find(server);
    return known == m_upstreams.end() ? 0 : in_use(known->second, now);
}

void slot_ledger::evict_expired(absl::Time now)
{
    absl::erase_if(m_upstreams, [now](const auto& entry)
                   { return now - entry.second.reported_at > idle_lifetime; });
    for (auto& [server, state] : m_upstreams)
    {
        absl::erase_if(
            state.holders, [now](const auto& entry)
            { return now - entry.second.reported_at > idle_lifetime; });
    }
}

} // namespace daleshelf
