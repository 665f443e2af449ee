#include "shared_quota.hpp"

#include <algorithm>
#include <span>

namespace daleshelf
{

namespace
{

// About two deposits per second and host: a keeper of thirty hosts receives
// sixty.
constexpr absl::Duration deposit_interval = absl::Milliseconds(450);
// A deposit refers to an acknowledgement of the keeper that is no older than
// this; one lost datagram is tolerated.
constexpr absl::Duration max_ack_age = absl::Seconds(1);
// The keeper credits a deposit within this time of the acknowledgement that it
// refers to.
constexpr absl::Duration max_deposit_delay = absl::Milliseconds(1200);
// A keeper that could not grant the full amount is not asked again for that
// subject within this time.
constexpr absl::Duration depleted_retry_delay = absl::Milliseconds(200);
// A keeper passes a larger fleet size on to the hosts of its hall with its next
// acknowledgement to each. Within this time each host deposits three times, so
// two lost datagrams are tolerated.
constexpr absl::Duration keeper_propagation = absl::Milliseconds(1500);
// Propagation times for which a fleet size that a peer has reported counts: one
// lost state is tolerated.
constexpr int reported_size_propagations = 3;
// Bounds the timed-out grant requests whose reply may still arrive.
constexpr std::size_t max_late_requests = 256;
// Smaller amounts are rounding errors of sums.
constexpr double min_amount = 1e-6;

} // namespace

shared_quota::shared_quota(host_id self, hall_id hall,
                           incarnation host_incarnation,
                           const quota_options& options)
    : m_self(std::move(self))
    , m_hall(std::move(hall))
    , m_incarnation(host_incarnation)
    , m_fleet(m_self, m_hall)
    , m_buckets(options)
    , m_join_delay(absl::Seconds(3))
{
}

void shared_quota::record_fleet_discovery(bool was_listed, absl::Time now)
{
    m_fleet_known_at = std::min(m_fleet_known_at, now);
    m_was_listed = m_was_listed || was_listed;
}

void shared_quota::update_peer(const quota_peer& peer, absl::Time now)
{
    m_fleet.update(peer.name, peer.hall, peer.host_incarnation,
                   peer.is_stopping, now);
    m_reported_fleet_sizes[peer.name] = {
        std::max<std::int64_t>(0, peer.fleet_size), now};
}

void shared_quota::stop()
{
    m_is_stopping = true;
    m_fleet.stop();
}

void shared_quota::record_response(
    const limit_table::upstream_response& response, absl::Time now,
    absl::Time time_of_day)
{
    if (m_limits.record_response(response, now, time_of_day))
    {
        apply_limit(response.server.id);
    }
}

void shared_quota::merge_limit(const limit_record& peer_record, absl::Time now)
{
    if (m_limits.merge(peer_record, now))
    {
        apply_limit(peer_record.server.id);
    }
}

void shared_quota::evict_limits(
    const std::function<bool(const upstream_incarnation&)>& is_gone,
    absl::Time now)
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
        m_buckets.set_upstream_limit(upstream, *limit);
        return;
    }
    m_buckets.remove_limit(upstream);
    m_unused_grants.erase(upstream);
}

std::vector<addressed_quota_message> shared_quota::tick(absl::Time now)
{
    m_fleet.evict_departed(now);
    std::erase_if(m_depleted_until,
                  [now](const auto& entry) { return entry.second <= now; });
    m_is_counted = m_is_counted || is_counted(now);
    m_credit.set_share(share_at(now), now);
    std::vector<addressed_quota_message> messages;
    const auto keeper = m_fleet.keepers(now).front();
    release_unused(keeper, now, messages);
    announce_to_keepers(now, messages);
    if (keeper == m_self)
    {
        m_buckets.deposit({m_self, m_incarnation, m_credit.share(),
                           m_credit.allocate(m_self, m_incarnation, now),
                           false},
                          now);
        return messages;
    }
    if (now - m_deposited_at >= deposit_interval)
    {
        messages.push_back(deposit_to(keeper, now));
    }
    return messages;
}

// A host accrues credit once it knows how many others there are and they know
// of it.
double shared_quota::share_at(absl::Time now) const
{
    if (!m_is_counted || m_is_stopping)
    {
        return 0;
    }
    return 1.0 / static_cast<double>(fleet_size_bound(now));
}

bool shared_quota::is_counted(absl::Time now) const
{
    return m_fleet_known_at <= now &&
           (m_was_listed || now - m_fleet_known_at >= m_join_delay ||
            is_known_by_keepers(now));
}

// Whether the keepers of all halls have counted this host for long enough that
// all others have heard the new size from them. A host that is a keeper itself
// does not know who was the keeper before.
bool shared_quota::is_known_by_keepers(absl::Time now) const
{
    const auto keepers = m_fleet.keepers(now);
    return std::all_of(keepers.begin(), keepers.end(),
                       [&](const auto& keeper)
                       {
                           const auto ack = m_first_acks.find(keeper);
                           return ack != m_first_acks.end() &&
                                  now - ack->second >= keeper_propagation;
                       });
}

// A state takes a round through the fleet to reach all, and a round takes
// longer the more hosts there are. Messages to the keepers do not.
void shared_quota::announce_to_keepers(
    absl::Time now, std::vector<addressed_quota_message>& messages)
{
    if (m_fleet_known_at > now || m_is_counted ||
        now - m_announced_at < deposit_interval)
    {
        return;
    }
    m_announced_at = now;
    const auto keepers = m_fleet.keepers(now);
    // The first is the keeper of this hall, which receives deposits.
    for (const auto& keeper : std::span(keepers).subspan(1))
    {
        if (!m_first_acks.contains(keeper))
        {
            messages.push_back(
                {keeper, new_message(quota_message_kind::deposit)});
        }
    }
}

// The largest size that any host reports: too large a fleet size is safe, too
// small a one is not.
std::size_t shared_quota::fleet_size_bound(absl::Time now) const
{
    auto largest = m_fleet.size();
    for (const auto& [peer, reported] : m_reported_fleet_sizes)
    {
        if (now - reported.second < m_join_delay * reported_size_propagations)
        {
            largest =
                std::max(largest, static_cast<std::size_t>(reported.first));
        }
    }
    return largest;
}

quota_message shared_quota::new_message(quota_message_kind kind)
{
    quota_message message;
    message.kind = kind;
    message.from = m_self;
    message.hall = m_hall;
    message.sender_incarnation = m_incarnation;
    message.sequence = ++m_sequence;
    message.is_stopping = m_is_stopping;
    message.fleet_size = static_cast<std::int64_t>(m_fleet.size());
    return message;
}

addressed_quota_message shared_quota::deposit_to(const host_id& keeper,
                                                 absl::Time now)
{
    if (m_unacknowledged_keeper == keeper)
    {
        m_fleet.record_timeout(keeper, now);
    }
    m_unacknowledged_keeper = keeper;
    m_deposited_at = now;
    auto message = new_message(quota_message_kind::deposit);
    message.share = m_credit.share();
    m_is_credit_withheld = true;
    if (m_last_ack.keeper == keeper &&
        now - m_last_ack.received_at <= max_ack_age)
    {
        message.in_reply_to = m_last_ack.sequence;
        message.keeper_incarnation = m_fleet.incarnation_of(keeper);
        message.credit =
            m_credit.allocate(keeper, message.keeper_incarnation, now);
        m_is_credit_withheld = false;
    }
    return {keeper, std::move(message)};
}

addressed_quota_message shared_quota::new_release(const host_id& keeper,
                                                  const quota_subject& subject,
                                                  double amount)
{
    auto message = new_message(quota_message_kind::release);
    message.set_subject(subject);
    message.amount = amount;
    return {keeper, std::move(message)};
}

// Returns grants that no request of this host has used since the last tick, so
// that other hosts can use them.
void shared_quota::release_unused(
    const host_id& keeper, absl::Time now,
    std::vector<addressed_quota_message>& messages)
{
    const auto unused = std::exchange(m_unused_grants, {});
    for (const auto& [subject, amount] : unused)
    {
        if (keeper == m_self)
        {
            m_buckets.release(subject, amount, now);
            continue;
        }
        if (amount > min_amount)
        {
            messages.push_back(new_release(keeper, subject, amount));
        }
    }
}

std::optional<quota_message> shared_quota::receive(const quota_message& message,
                                                   absl::Time now)
{
    update_peer({message.from, message.hall, message.sender_incarnation,
                 message.is_stopping, message.fleet_size},
                now);
    switch (message.kind)
    {
    case quota_message_kind::deposit:
    {
        const bool is_late = !is_recent(message.in_reply_to, now);
        if (message.keeper_incarnation == m_incarnation)
        {
            m_buckets.deposit({message.from, message.sender_incarnation,
                               message.share, message.credit, is_late},
                              now);
        }
        auto ack = new_message(quota_message_kind::deposit_ack);
        ack.in_reply_to = message.sequence;
        m_sent_acks.emplace_back(ack.sequence, now);
        return ack;
    }
    case quota_message_kind::grant_request:
    {
        if (message.limit)
        {
            merge_limit(*message.limit, now);
        }
        auto grant = new_message(quota_message_kind::grant);
        grant.in_reply_to = message.sequence;
        grant.set_subject(message.subject());
        grant.amount = granted_for(message, now);
        return grant;
    }
    case quota_message_kind::deposit_ack:
        record_fleet_discovery(false, now);
        m_first_acks.try_emplace(message.from, now);
        if (message.hall != m_hall)
        {
            // It acknowledges an announcement: deposits go to the own hall.
            return std::nullopt;
        }
        m_last_ack = {message.from, message.sequence, now};
        if (m_unacknowledged_keeper == message.from)
        {
            m_unacknowledged_keeper = host_id();
            if (m_is_credit_withheld)
            {
                // The keeper needs credit before it can grant: after a restart
                // of all hosts requests are rejected until then. Depositing
                // again at once shortens that by 0.45 s.
                return deposit_to(message.from, now).message;
            }
        }
        return std::nullopt;
    case quota_message_kind::grant:
        receive_grant(message);
        return std::nullopt;
    case quota_message_kind::release:
        receive_release(message, now);
        return std::nullopt;
    }
    return std::nullopt;
}

// Grants the full amount for an upstream whose limit has ended.
double shared_quota::granted_for(const quota_message& request, absl::Time now)
{
    const auto subject = request.subject();
    const bool is_unlimited =
        subject.is_upstream() && !m_buckets.is_limited(subject);
    return is_unlimited ? request.amount
                        : m_buckets.take(subject, request.amount, now);
}

// Whether this process sent that acknowledgement recently by its own clock. A
// deposit that refers to it was then not delayed by a pause of this process.
bool shared_quota::is_recent(std::int64_t sequence, absl::Time now)
{
    while (!m_sent_acks.empty() &&
           now - m_sent_acks.front().second > max_deposit_delay)
    {
        m_sent_acks.pop_front();
    }
    return !m_sent_acks.empty() && sequence >= m_sent_acks.front().first;
}

// A reply that arrives after its request has timed out is kept for other
// requests; a duplicate counts once.
void shared_quota::receive_grant(const quota_message& message)
{
    const auto position = m_pending_requests.find(message.in_reply_to);
    if (position != m_pending_requests.end())
    {
        if (!position->second)
        {
            position->second = message.amount;
        }
        return;
    }
    if (m_late_requests.erase(message.in_reply_to) > 0)
    {
        m_unused_grants[message.subject()] += message.amount;
    }
}

void shared_quota::receive_release(const quota_message& message, absl::Time now)
{
    auto& last = m_last_releases[message.from];
    const auto order = std::pair(message.sender_incarnation, message.sequence);
    if (last < order)
    {
        last = order;
        m_buckets.release(message.subject(), message.amount, now);
    }
}

quota_claim shared_quota::open_claim(const quota_subject& subject, double cost,
                                     absl::Time now) const
{
    return {subject, cost, m_fleet.keepers(now)};
}

claim_step shared_quota::advance(quota_claim& claim, absl::Time now)
{
    // 1. A subject without a limit is not counted.
    if (!m_buckets.is_limited(claim.m_subject))
    {
        return {claim_step::status::granted, std::nullopt};
    }
    // 2. Add what the last keeper has granted, and unused grants of this host.
    complete_request(claim, now);
    use_unused_grants(claim);
    // 3. Request the missing amount from the next keeper.
    while (claim.m_collected + min_amount < claim.m_cost)
    {
        if (claim.m_next_keeper == claim.m_keepers.size())
        {
            // 4. No keeper is left: the collected tokens are kept for other
            // requests.
            m_unused_grants[claim.m_subject] += claim.m_collected;
            return {claim_step::status::rejected, std::nullopt};
        }
        const auto keeper = claim.m_keepers[claim.m_next_keeper++];
        const auto missing = claim.m_cost - claim.m_collected;
        if (keeper == m_self)
        {
            claim.m_collected += m_buckets.take(claim.m_subject, missing, now);
            continue;
        }
        if (is_depleted(keeper, claim.m_subject, now))
        {
            continue;
        }
        auto request = new_message(quota_message_kind::grant_request);
        request.set_subject(claim.m_subject);
        if (const auto* limit = m_limits.find(claim.m_subject.upstream))
        {
            request.limit = *limit;
        }
        request.amount = missing;
        claim.m_pending_sequence = request.sequence;
        claim.m_pending_keeper = keeper;
        claim.m_pending_amount = missing;
        ++claim.m_request_count;
        m_pending_requests[request.sequence] = std::nullopt;
        return {claim_step::status::pending,
                addressed_quota_message{keeper, std::move(request)}};
    }
    return {claim_step::status::granted, std::nullopt};
}

void shared_quota::complete_request(quota_claim& claim, absl::Time now)
{
    const auto position = m_pending_requests.find(claim.m_pending_sequence);
    claim.m_pending_sequence = 0;
    if (position == m_pending_requests.end())
    {
        return;
    }
    const auto granted = position->second;
    const auto request_sequence = position->first;
    m_pending_requests.erase(position);
    if (!granted)
    {
        m_late_requests.insert(request_sequence);
        if (m_late_requests.size() > max_late_requests)
        {
            m_late_requests.erase(m_late_requests.begin());
        }
        m_fleet.record_timeout(claim.m_pending_keeper, now);
        return;
    }
    ++claim.m_reply_count;
    claim.m_collected += *granted;
    if (*granted + min_amount < claim.m_pending_amount)
    {
        m_depleted_until[{claim.m_pending_keeper, claim.m_subject}] =
            now + depleted_retry_delay;
    }
}

void shared_quota::use_unused_grants(quota_claim& claim)
{
    const auto found = m_unused_grants.find(claim.m_subject);
    if (found == m_unused_grants.end())
    {
        return;
    }
    const auto used = std::min(found->second, claim.m_cost - claim.m_collected);
    found->second -= used;
    claim.m_collected += used;
}

void shared_quota::refund(const quota_subject& subject, double cost)
{
    if (m_buckets.is_limited(subject))
    {
        m_unused_grants[subject] += cost;
    }
}

bool shared_quota::has_reply(std::int64_t request_sequence) const
{
    const auto position = m_pending_requests.find(request_sequence);
    return position != m_pending_requests.end() && position->second.has_value();
}

absl::Duration shared_quota::refill_time(const quota_subject& subject,
                                         double cost) const
{
    const auto rate = m_buckets.rate_of(subject);
    return rate > 0 ? absl::Seconds(cost / rate) : absl::ZeroDuration();
}

bool shared_quota::is_depleted(const host_id& keeper,
                               const quota_subject& subject,
                               absl::Time now) const
{
    const auto found = m_depleted_until.find({keeper, subject});
    return found != m_depleted_until.end() && now < found->second;
}

} // namespace daleshelf
