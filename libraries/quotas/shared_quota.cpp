#include "shared_quota.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// Two a second: keepers of thirty hosts read sixty.
constexpr absl::Duration deposit_pause = absl::Milliseconds(450);
// A deposit names a message of the keeper that is no older than this; one lost
// datagram is borne.
constexpr absl::Duration echo_time = absl::Seconds(1);
// The keeper counts it within this time of that message.
constexpr absl::Duration recent_time = absl::Milliseconds(1200);
// How long a keeper that had too little is not asked again for that subject.
constexpr absl::Duration short_time = absl::Milliseconds(200);
// How long the fleet's size counts as a peer has told it, against the time in
// which its state goes to all: one state may be lost.
constexpr int told_states = 3;
// Asks whose answer may still come.
constexpr std::size_t most_late_asks = 256;
// Rounding of sums.
constexpr double least_amount = 1e-6;

} // namespace

shared_quota::shared_quota(host_id self, hall_id hall, incarnation started,
                           const quota_options& options)
    : m_self(std::move(self))
    , m_hall(std::move(hall))
    , m_started(started)
    , m_roster(m_self, m_hall)
    , m_pool(options)
    , m_join_time(absl::Seconds(3))
{
}

void shared_quota::note_fleet(bool was_listed, absl::Time now)
{
    m_fleet_known_at = std::min(m_fleet_known_at, now);
    m_was_listed = m_was_listed || was_listed;
}

void shared_quota::hear(const quota_peer& peer, absl::Time now)
{
    m_roster.hear(peer.name, peer.hall, peer.started, peer.is_stopping, now);
    m_told_sizes[peer.name] = {std::max<std::int64_t>(0, peer.fleet_size), now};
}

void shared_quota::stop()
{
    m_is_stopping = true;
    m_roster.stop();
}

void shared_quota::record_answer(const limit_table::upstream_response& seen,
                                 absl::Time now, absl::Time time_of_day)
{
    if (m_limits.record_response(seen, now, time_of_day))
    {
        apply_limit(seen.server.id);
    }
}

void shared_quota::merge_limit(const limit_record& told, absl::Time now)
{
    if (m_limits.merge(told, now))
    {
        apply_limit(told.server.id);
    }
}

void shared_quota::evict_limits(
    const std::function<bool(const upstream_life&)>& is_gone, absl::Time now)
{
    for (const auto& upstream : m_limits.evict(is_gone, now))
    {
        apply_limit(upstream);
    }
}

void shared_quota::apply_limit(const upstream_id& upstream)
{
    if (const auto limit = m_limits.limit_of(upstream))
    {
        m_pool.limit_upstream(upstream, *limit);
        return;
    }
    m_pool.lift_limit(upstream);
    m_unspent.erase(upstream);
}

std::vector<addressed_quota_message> shared_quota::tick(absl::Time now)
{
    m_roster.strike_gone(now);
    std::erase_if(m_short_until,
                  [now](const auto& entry) { return entry.second <= now; });
    m_meter.set_share(share_at(now), now);
    std::vector<addressed_quota_message> messages;
    const auto keeper = m_roster.keepers(now).front();
    give_back_unused(keeper, now, messages);
    if (keeper == m_self)
    {
        m_pool.deposit({m_self, m_started, m_meter.share(),
                        m_meter.give(m_self, m_started, now), false},
                       now);
        return messages;
    }
    if (now - m_deposited_at >= deposit_pause)
    {
        messages.push_back(deposit_to(keeper, now));
    }
    return messages;
}

// A host earns once it knows how many others there are, and they of it.
double shared_quota::share_at(absl::Time now) const
{
    const bool is_counted =
        m_fleet_known_at <= now &&
        (m_was_listed || now - m_fleet_known_at >= m_join_time);
    if (!is_counted || m_is_stopping)
    {
        return 0;
    }
    return 1.0 / static_cast<double>(counted_hosts(now));
}

// The most that anybody counts: too many is safe, too few is not.
std::size_t shared_quota::counted_hosts(absl::Time now) const
{
    auto most = m_roster.size();
    for (const auto& [peer, told] : m_told_sizes)
    {
        if (now - told.second < m_join_time * told_states)
        {
            most = std::max(most, static_cast<std::size_t>(told.first));
        }
    }
    return most;
}

quota_message shared_quota::new_message(quota_message_kind kind)
{
    quota_message message;
    message.kind = kind;
    message.from = m_self;
    message.hall = m_hall;
    message.started = m_started;
    message.sequence = ++m_sequence;
    message.is_stopping = m_is_stopping;
    message.fleet_size = static_cast<std::int64_t>(m_roster.size());
    return message;
}

addressed_quota_message shared_quota::deposit_to(const host_id& keeper,
                                                 absl::Time now)
{
    if (m_unseen_keeper == keeper)
    {
        m_roster.note_silence(keeper, now);
    }
    m_unseen_keeper = keeper;
    m_deposited_at = now;
    auto message = new_message(quota_message_kind::deposit);
    message.share = m_meter.share();
    m_is_credit_held = true;
    if (m_echo.keeper == keeper && now - m_echo.heard_at <= echo_time)
    {
        message.answer_to = m_echo.sequence;
        message.keeper_started = m_roster.started_of(keeper);
        message.credit = m_meter.give(keeper, message.keeper_started, now);
        m_is_credit_held = false;
    }
    return {keeper, std::move(message)};
}

addressed_quota_message shared_quota::return_to(const host_id& keeper,
                                                const quota_subject& subject,
                                                double amount)
{
    auto message = new_message(quota_message_kind::give_back);
    message.set_subject(subject);
    message.amount = amount;
    return {keeper, std::move(message)};
}

// What nobody here has used since the last time others may have a use for.
void shared_quota::give_back_unused(
    const host_id& keeper, absl::Time now,
    std::vector<addressed_quota_message>& messages)
{
    const auto unused = std::exchange(m_unspent, {});
    for (const auto& [subject, amount] : unused)
    {
        if (keeper == m_self)
        {
            m_pool.give_back(subject, amount, now);
            continue;
        }
        if (amount > least_amount)
        {
            messages.push_back(return_to(keeper, subject, amount));
        }
    }
}

std::optional<quota_message> shared_quota::receive(const quota_message& message,
                                                   absl::Time now)
{
    hear({message.from, message.hall, message.started, message.is_stopping,
          message.fleet_size},
         now);
    switch (message.kind)
    {
    case quota_message_kind::deposit:
    {
        const bool is_late = !is_recent(message.answer_to, now);
        if (message.keeper_started == m_started)
        {
            m_pool.deposit({message.from, message.started, message.share,
                            message.credit, is_late},
                           now);
        }
        auto seen = new_message(quota_message_kind::seen);
        seen.answer_to = message.sequence;
        m_seen_sent.emplace_back(seen.sequence, now);
        return seen;
    }
    case quota_message_kind::ask:
    {
        if (message.limit)
        {
            merge_limit(*message.limit, now);
        }
        auto grant = new_message(quota_message_kind::grant);
        grant.answer_to = message.sequence;
        grant.set_subject(message.subject());
        grant.amount = granted_for(message, now);
        return grant;
    }
    case quota_message_kind::seen:
        note_fleet(false, now);
        m_echo = {message.from, message.sequence, now};
        if (m_unseen_keeper == message.from)
        {
            m_unseen_keeper = host_id();
            if (m_is_credit_held)
            {
                // After a restart of all, requests are refused until keepers
                // have something to give: a pause of 0.45 s sooner.
                return deposit_to(message.from, now).message;
            }
        }
        return std::nullopt;
    case quota_message_kind::grant:
        take_grant(message);
        return std::nullopt;
    case quota_message_kind::give_back:
        take_back(message, now);
        return std::nullopt;
    }
    return std::nullopt;
}

// Grants all that is asked of an upstream whose limit has ended.
double shared_quota::granted_for(const quota_message& ask, absl::Time now)
{
    const auto subject = ask.subject();
    const bool is_unlimited =
        subject.is_upstream() && !m_pool.is_limited(subject);
    return is_unlimited ? ask.amount : m_pool.take(subject, ask.amount, now);
}

// Whether this process has sent that message a short while ago, by its own
// clock: what names it has not waited for this process to go on again.
bool shared_quota::is_recent(std::int64_t sequence, absl::Time now)
{
    while (!m_seen_sent.empty() &&
           now - m_seen_sent.front().second > recent_time)
    {
        m_seen_sent.pop_front();
    }
    return !m_seen_sent.empty() && sequence >= m_seen_sent.front().first;
}

// An answer that comes when nobody waits for it any more is kept for others;
// one that comes twice counts once.
void shared_quota::take_grant(const quota_message& message)
{
    const auto open = m_answers.find(message.answer_to);
    if (open != m_answers.end())
    {
        if (!open->second)
        {
            open->second = message.amount;
        }
        return;
    }
    if (m_late_asks.erase(message.answer_to) > 0)
    {
        m_unspent[message.subject()] += message.amount;
    }
}

void shared_quota::take_back(const quota_message& message, absl::Time now)
{
    auto& last = m_last_returns[message.from];
    const auto order = std::pair(message.started, message.sequence);
    if (last < order)
    {
        last = order;
        m_pool.give_back(message.subject(), message.amount, now);
    }
}

quota_claim shared_quota::open_claim(const quota_subject& subject, double cost,
                                     absl::Time now) const
{
    return {subject, cost, m_roster.keepers(now)};
}

claim_step shared_quota::advance(quota_claim& claim, absl::Time now)
{
    // 1. A subject without a limit is not counted.
    if (!m_pool.is_limited(claim.m_subject))
    {
        return {claim_step::outcome::granted, std::nullopt};
    }
    // 2. What the last keeper has granted, and what is left here.
    close_ask(claim, now);
    spend_unspent(claim);
    // 3. The next keeper, while something is missing.
    while (claim.m_collected + least_amount < claim.m_cost)
    {
        if (claim.m_next == claim.m_keepers.size())
        {
            // 4. Nobody has the rest: what was collected is for others.
            m_unspent[claim.m_subject] += claim.m_collected;
            return {claim_step::outcome::refused, std::nullopt};
        }
        const auto keeper = claim.m_keepers[claim.m_next++];
        const auto missing = claim.m_cost - claim.m_collected;
        if (keeper == m_self)
        {
            claim.m_collected += m_pool.take(claim.m_subject, missing, now);
            continue;
        }
        if (is_short(keeper, claim.m_subject, now))
        {
            continue;
        }
        auto ask = new_message(quota_message_kind::ask);
        ask.set_subject(claim.m_subject);
        if (const auto* limit = m_limits.find(claim.m_subject.upstream))
        {
            ask.limit = *limit;
        }
        ask.amount = missing;
        claim.m_open_ask = ask.sequence;
        claim.m_open_keeper = keeper;
        claim.m_open_amount = missing;
        ++claim.m_asked;
        m_answers[ask.sequence] = std::nullopt;
        return {claim_step::outcome::asking,
                addressed_quota_message{keeper, std::move(ask)}};
    }
    return {claim_step::outcome::granted, std::nullopt};
}

void shared_quota::close_ask(quota_claim& claim, absl::Time now)
{
    const auto open = m_answers.find(claim.m_open_ask);
    claim.m_open_ask = 0;
    if (open == m_answers.end())
    {
        return;
    }
    const auto granted = open->second;
    const auto ask = open->first;
    m_answers.erase(open);
    if (!granted)
    {
        m_late_asks.insert(ask);
        if (m_late_asks.size() > most_late_asks)
        {
            m_late_asks.erase(m_late_asks.begin());
        }
        m_roster.note_silence(claim.m_open_keeper, now);
        return;
    }
    ++claim.m_answered;
    claim.m_collected += *granted;
    if (*granted + least_amount < claim.m_open_amount)
    {
        m_short_until[{claim.m_open_keeper, claim.m_subject}] =
            now + short_time;
    }
}

void shared_quota::spend_unspent(quota_claim& claim)
{
    const auto found = m_unspent.find(claim.m_subject);
    if (found == m_unspent.end())
    {
        return;
    }
    const auto spent =
        std::min(found->second, claim.m_cost - claim.m_collected);
    found->second -= spent;
    claim.m_collected += spent;
}

void shared_quota::refund(const quota_subject& subject, double cost)
{
    if (m_pool.is_limited(subject))
    {
        m_unspent[subject] += cost;
    }
}

bool shared_quota::has_answer(std::int64_t ask) const
{
    const auto open = m_answers.find(ask);
    return open != m_answers.end() && open->second.has_value();
}

absl::Duration shared_quota::time_to_earn(const quota_subject& subject,
                                          double cost) const
{
    const auto rate = m_pool.rate_of(subject);
    return rate > 0 ? absl::Seconds(cost / rate) : absl::ZeroDuration();
}

bool shared_quota::is_short(const host_id& keeper, const quota_subject& subject,
                            absl::Time now) const
{
    const auto found = m_short_until.find({keeper, subject});
    return found != m_short_until.end() && now < found->second;
}

} // namespace daleshelf
