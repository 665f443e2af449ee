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

constexpr std::size_t most_settled = 40;
constexpr absl::Duration read_pause = absl::Milliseconds(400);
constexpr absl::Duration quiet_read_pause = absl::Seconds(4);

} // namespace

duty_ledger::duty_ledger(host_id self, incarnation started,
                         const duty_options& options)
    : m_self(std::move(self)), m_started(started), m_options(options)
{
}

ledger_action duty_ledger::next_action(bool is_holder_heard, absl::Time now)
{
    // 1. A few machines of a large fleet watch the lease; the others need to
    // know once what came before their start.
    if (!m_is_candidate && m_was_read && m_is_current && !is_own())
    {
        return {};
    }
    // 2. Read what is known to be unread.
    const bool is_due = now - m_read_at >= read_pause;
    if (!m_is_current)
    {
        return is_due ? ledger_action(ledger_read{m_next}) : ledger_action();
    }
    if (m_is_stopping)
    {
        return {};
    }
    // 3. Renew the own lease; a lapsed one too, if nobody else has taken it.
    if (is_own())
    {
        if (now - m_renewed_at < m_options.renewal)
        {
            return {};
        }
        return ledger_append{m_next, lease_record(renewal_kind), std::nullopt};
    }
    // 4. While the holder is heard of, there is no hurry to read.
    if (is_holder_heard)
    {
        const bool is_time = now - m_read_at >= quiet_read_pause;
        return is_time ? ledger_action(ledger_read{m_next}) : ledger_action();
    }
    // 5. Take over what is free.
    if (may_grant(now))
    {
        return ledger_append{m_next, lease_record(grant_kind), std::nullopt};
    }
    return is_due ? ledger_action(ledger_read{m_next}) : ledger_action();
}

// A lease is free if it was never held, was given up, or has lapsed by what
// this machine has seen.
bool duty_ledger::may_grant(absl::Time now) const
{
    const auto wait = m_options.lease + m_options.margin;
    if (now - m_released_at < wait)
    {
        return false;
    }
    const bool was_never_held = m_holder.empty() && m_next == log_offset(0);
    const released_lease newest{m_holder, m_holder_started, m_token};
    const bool was_released = m_token >= 0 && m_heard_release == newest;
    return was_never_held || was_released || now - m_seen_at >= wait;
}

std::optional<ledger_append> duty_ledger::settle(std::int64_t window,
                                                 const tenant_counts& counts,
                                                 absl::Time now) const
{
    // A window whose counts were settled in records that this machine never saw
    // would be reported twice, with other counts.
    if (!m_is_current || !token(now) || !may_settle(window))
    {
        return std::nullopt;
    }
    auto record = new_record(usage_kind);
    record["window"] = window;
    record["counts"] = to_json(counts);
    return ledger_append{m_next, boost::json::serialize(record), window};
}

void duty_ledger::on_records(log_offset from, log_offset first, log_offset end,
                             const std::vector<std::string>& records,
                             std::int64_t running_window, absl::Time now)
{
    if (m_next < first)
    {
        m_first_known = std::max(m_first_known, running_window);
    }
    m_read_at = now;
    m_refusals = 0;
    m_refused_since = absl::InfiniteFuture();
    auto offset = std::max(from, first);
    for (const auto& record : records)
    {
        if (offset >= m_next)
        {
            apply(offset, record, now);
            m_next = offset.next();
        }
        offset = offset.next();
    }
    if (records.empty() && m_next < first)
    {
        m_next = first;
    }
    if (!m_was_read)
    {
        // Whoever holds the lease may have renewed it just now.
        m_seen_at = now;
        m_was_read = true;
    }
    m_is_current = m_next >= end;
    if (!m_is_current)
    {
        m_read_at = absl::InfinitePast();
    }
}

void duty_ledger::on_appended(const ledger_append& append, absl::Time sent_at)
{
    apply(append.at, append.record, sent_at);
    m_next = append.at.next();
    m_renewed_at = sent_at;
    m_refusals = 0;
    m_refused_since = absl::InfiniteFuture();
    if (is_own())
    {
        m_valid_until = sent_at + m_options.lease;
    }
}

void duty_ledger::on_uncertain()
{
    m_is_current = false;
}

void duty_ledger::on_refused(absl::Time sent_at)
{
    ++m_refusals;
    m_refused_since = std::min(m_refused_since, sent_at);
}

bool duty_ledger::should_release(absl::Time others_answered_at,
                                 absl::Time now) const
{
    // One call without an answer is an answer that was lost, now and then.
    constexpr int refusals_in_a_row = 2;
    return token(now) && m_refusals >= refusals_in_a_row &&
           others_answered_at > m_refused_since;
}

void duty_ledger::release(absl::Time now)
{
    if (!is_own())
    {
        return;
    }
    m_released_token = m_token;
    m_released_at = now;
    m_valid_until = absl::InfinitePast();
}

void duty_ledger::on_released(const released_lease& lease)
{
    if (lease == m_heard_release)
    {
        return;
    }
    m_heard_release = lease;
    // What comes after it in the log is read at once.
    m_read_at = absl::InfinitePast();
}

std::optional<std::int64_t> duty_ledger::token(absl::Time now,
                                               absl::Duration needed) const
{
    if (!is_own() || now + needed >= m_valid_until)
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
        const auto started = incarnation(require_integer(object, "started"));
        if (kind != grant_kind && kind != renewal_kind && kind != usage_kind)
        {
            // Another version's: it says nothing of the lease.
            return;
        }
        m_seen_at = now;
        if (kind == grant_kind)
        {
            m_holder = holder;
            m_holder_started = started;
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
            while (m_settled.size() > most_settled)
            {
                m_settled.erase(m_settled.begin());
            }
        }
    }
    catch (const json_error&)
    {
        // A record that cannot be read says nothing to any machine.
    }
}

bool duty_ledger::is_own() const
{
    return m_holder == m_self && m_holder_started == m_started &&
           m_token != m_released_token;
}

boost::json::object duty_ledger::new_record(std::string_view kind) const
{
    boost::json::object record;
    record["kind"] = std::string(kind);
    record["holder"] = m_self.value();
    record["started"] = m_started.value();
    return record;
}

std::string duty_ledger::lease_record(std::string_view kind) const
{
    return boost::json::serialize(new_record(kind));
}

} // namespace daleshelf
