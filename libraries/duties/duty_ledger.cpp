#include "duty_ledger.hpp"

#include <boost/json.hpp>

#include <base/json.hpp>

namespace daleshelf
{

namespace
{

constexpr std::string_view grant_kind = "grant";
constexpr std::string_view renewal_kind = "renewal";
constexpr std::string_view usage_kind = "usage";

constexpr std::size_t max_settled_windows = 40;
constexpr absl::Duration read_interval = absl::Milliseconds(400);
constexpr absl::Duration idle_read_interval = absl::Seconds(4);

} // namespace

duty_ledger::duty_ledger(host_id self, incarnation own_incarnation,
                         const duty_options& options)
    : m_self(std::move(self))
    , m_incarnation(own_incarnation)
    , m_options(options)
{
}

ledger_action duty_ledger::next_action(bool is_holder_reachable, absl::Time now)
{
    // 1. In a large fleet only a few candidates watch the lease. The other
    // hosts read the log once, for the records from before their start.
    if (!m_is_candidate && m_has_read && m_is_caught_up && !is_holder())
    {
        return {};
    }
    // 2. Read records that are known to be unread.
    const bool is_due = now - m_read_at >= read_interval;
    if (!m_is_caught_up)
    {
        return is_due ? ledger_action(ledger_read{m_next_offset})
                      : ledger_action();
    }
    if (m_is_stopping)
    {
        return {};
    }
    // 3. Renew the lease of this host, also after it has expired, unless
    // another host has acquired it.
    if (is_holder())
    {
        if (now - m_renewed_at < m_options.renewal_interval)
        {
            return {};
        }
        return ledger_append{m_next_offset, lease_record(renewal_kind),
                             std::nullopt};
    }
    // 4. Read less often while the holder is reachable.
    if (is_holder_reachable)
    {
        const bool is_idle_read_due = now - m_read_at >= idle_read_interval;
        return is_idle_read_due ? ledger_action(ledger_read{m_next_offset})
                                : ledger_action();
    }
    // 5. Acquire the lease if it is free.
    if (can_acquire(now))
    {
        return ledger_append{m_next_offset, lease_record(grant_kind),
                             std::nullopt};
    }
    return is_due ? ledger_action(ledger_read{m_next_offset}) : ledger_action();
}

// A lease is free if it was never held, was released, or has expired according
// to the records that this host has read.
bool duty_ledger::can_acquire(absl::Time now) const
{
    const auto wait = m_options.lease_duration + m_options.takeover_margin;
    if (now - m_released_at < wait)
    {
        return false;
    }
    const bool was_never_held =
        m_holder.empty() && m_next_offset == log_offset(0);
    const released_lease newest{m_holder, m_holder_incarnation, m_token};
    const bool was_released = m_token >= 0 && m_received_release == newest;
    return was_never_held || was_released || now - m_holder_seen_at >= wait;
}

std::optional<ledger_append> duty_ledger::settle(std::int64_t window,
                                                 const tenant_counts& counts,
                                                 absl::Time now) const
{
    // A window that was settled in records this host never read would be
    // reported twice, with different counts.
    if (!m_is_caught_up || !token(now) || !can_settle(window))
    {
        return std::nullopt;
    }
    auto record = new_record(usage_kind);
    record["window"] = window;
    record["counts"] = to_json(counts);
    return ledger_append{m_next_offset, boost::json::serialize(record), window};
}

void duty_ledger::on_records(log_offset from, log_offset first, log_offset end,
                             const std::vector<std::string>& records,
                             std::int64_t current_window, absl::Time now)
{
    if (m_next_offset < first)
    {
        m_first_settleable_window =
            std::max(m_first_settleable_window, current_window);
    }
    m_read_at = now;
    m_consecutive_failures = 0;
    m_first_failure_at = absl::InfiniteFuture();
    auto offset = std::max(from, first);
    for (const auto& record : records)
    {
        if (offset >= m_next_offset)
        {
            apply(offset, record, now);
            m_next_offset = offset.next();
        }
        offset = offset.next();
    }
    if (records.empty() && m_next_offset < first)
    {
        m_next_offset = first;
    }
    if (!m_has_read)
    {
        // The holder may have renewed the lease just before this read.
        m_holder_seen_at = now;
        m_has_read = true;
    }
    m_is_caught_up = m_next_offset >= end;
    if (!m_is_caught_up)
    {
        m_read_at = absl::InfinitePast();
    }
}

void duty_ledger::on_appended(const ledger_append& append, absl::Time sent_at)
{
    apply(append.expected_end, append.record, sent_at);
    m_next_offset = append.expected_end.next();
    m_renewed_at = sent_at;
    m_consecutive_failures = 0;
    m_first_failure_at = absl::InfiniteFuture();
    if (is_holder())
    {
        m_valid_until = sent_at + m_options.lease_duration;
    }
}

void duty_ledger::on_outcome_unknown()
{
    m_is_caught_up = false;
}

void duty_ledger::on_call_failed(absl::Time sent_at)
{
    ++m_consecutive_failures;
    m_first_failure_at = std::min(m_first_failure_at, sent_at);
}

bool duty_ledger::should_release(absl::Time others_served_at,
                                 absl::Time now) const
{
    // A single failed call may be a lost response.
    constexpr int min_consecutive_failures = 2;
    return token(now) && m_consecutive_failures >= min_consecutive_failures &&
           others_served_at > m_first_failure_at;
}

void duty_ledger::release(absl::Time now)
{
    if (!is_holder())
    {
        return;
    }
    m_released_token = m_token;
    m_released_at = now;
    m_valid_until = absl::InfinitePast();
}

void duty_ledger::on_released(const released_lease& lease)
{
    if (lease == m_received_release)
    {
        return;
    }
    m_received_release = lease;
    // Makes the next read due at once: the log may hold a newer grant.
    m_read_at = absl::InfinitePast();
}

std::optional<std::int64_t>
duty_ledger::token(absl::Time now, absl::Duration min_remaining) const
{
    if (!is_holder() || now + min_remaining >= m_valid_until)
    {
        return std::nullopt;
    }
    return m_token;
}

void duty_ledger::apply(log_offset offset, const std::string& record,
                        absl::Time now)
{
    try
    {
        const auto object = parse_object(record);
        const auto kind = require_string(object, "kind");
        const auto holder = host_id(require_string(object, "holder"));
        const auto holder_incarnation =
            incarnation(require_integer(object, "started"));
        if (kind != grant_kind && kind != renewal_kind && kind != usage_kind)
        {
            // Written by another version; it does not affect the lease.
            return;
        }
        m_holder_seen_at = now;
        if (kind == grant_kind)
        {
            m_holder = holder;
            m_holder_incarnation = holder_incarnation;
            m_token = offset.value();
            return;
        }
        if (kind == usage_kind)
        {
            const auto* counts = find_object(object, "counts");
            m_settled.emplace(require_integer(object, "window"),
                              counts == nullptr
                                  ? tenant_counts()
                                  : tenant_counts_from_json(*counts));
            while (m_settled.size() > max_settled_windows)
            {
                m_settled.erase(m_settled.begin());
            }
        }
    }
    catch (const json_error&)
    {
        // Every host ignores a record that cannot be parsed.
    }
}

bool duty_ledger::is_holder() const
{
    return m_holder == m_self && m_holder_incarnation == m_incarnation &&
           m_token != m_released_token;
}

boost::json::object duty_ledger::new_record(std::string_view kind) const
{
    boost::json::object record;
    record["kind"] = std::string(kind);
    record["holder"] = m_self.value();
    record["started"] = m_incarnation.value();
    return record;
}

std::string duty_ledger::lease_record(std::string_view kind) const
{
    return boost::json::serialize(new_record(kind));
}

} // namespace daleshelf
