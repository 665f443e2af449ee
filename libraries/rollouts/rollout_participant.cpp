#include "rollout_participant.hpp"

#include <xxhash.h>

#include <algorithm>

namespace daleshelf
{

namespace
{

// How long a word holds: four of them, one a quarter second, may be lost.
constexpr absl::Duration word_time = absl::Milliseconds(1200);

// Hosts begin at different parts of a request, so that those which send three
// requests a second do not all wait for their twentieth one, and together they
// send the share at the mean.
double first_credit(const host_id& host, log_offset order)
{
    const auto hash =
        XXH3_64bits_withSeed(host.value().data(), host.value().size(),
                             static_cast<std::uint64_t>(order.value()));
    constexpr double whole = 18446744073709551616.0;
    return static_cast<double>(hash) / whole;
}

} // namespace

rollout_participant::rollout_participant(host_id self, incarnation started,
                                         version_gate& gate)
    : m_self(std::move(self)), m_started(started), m_gate(gate)
{
}

bool rollout_participant::hear(const rollout_directive& word, absl::Time now)
{
    const auto* order = m_gate.order_of(word.service);
    if (order == nullptr || order->offset != word.order)
    {
        // Another order, or one that this host has not read yet.
        return false;
    }
    if (word.phase != rollout_phase::running)
    {
        return m_gate.set_phase(word.service, word.order, word.phase, now);
    }
    auto* known = running(word.service);
    if (known == nullptr || std::pair(word.token, word.sequence) <=
                                std::pair(known->token, known->sequence))
    {
        return false;
    }
    known->token = word.token;
    known->sequence = word.sequence;
    known->share = word.share;
    known->heard_at = now;
    return true;
}

std::optional<canary_target>
rollout_participant::pick_target(const service_name& service, absl::Time now)
{
    auto* known = running(service);
    const auto share = share_of(service, now);
    if (known == nullptr || share <= 0)
    {
        return std::nullopt;
    }
    known->credit = std::min(known->credit + share, 1 + share);
    if (known->credit < 1)
    {
        return std::nullopt;
    }
    known->credit -= 1;
    return canary_target{m_gate.order_of(service)->target, share};
}

double rollout_participant::share_of(const service_name& service,
                                     absl::Time now) const
{
    const auto known = m_orders.find(service);
    const bool is_running = known != m_orders.end() && is_watching(service);
    return is_running && now - known->second.heard_at <= word_time
               ? known->second.share
               : 0;
}

void rollout_participant::record_sent(const service_name& service,
                                      const version_name& version)
{
    auto* known = running(service);
    if (known == nullptr)
    {
        return;
    }
    const bool is_target = m_gate.order_of(service)->target == version;
    ++(is_target ? known->seen.sent_target : known->seen.sent_old);
}

void rollout_participant::note_answer(const service_name& service,
                                      const version_name& version,
                                      const std::string& route,
                                      const response_sample& seen)
{
    auto* known = running(service);
    if (known == nullptr)
    {
        return;
    }
    const bool is_target = m_gate.order_of(service)->target == version;
    auto& tallies = is_target ? known->seen.target : known->seen.old_version;
    tallies[route].add(seen);
    known->has_news = known->has_news || is_target;
}

std::optional<rollout_report>
rollout_participant::report(const service_name& service)
{
    auto* known = running(service);
    if (known == nullptr)
    {
        return std::nullopt;
    }
    known->has_news = false;
    return rollout_report{m_self, m_started, service, known->order,
                          known->seen};
}

bool rollout_participant::has_news(const service_name& service) const
{
    const auto known = m_orders.find(service);
    return known != m_orders.end() && known->second.has_news;
}

absl::Time rollout_participant::heard_at(const service_name& service) const
{
    const auto known = m_orders.find(service);
    return known == m_orders.end() ? absl::InfinitePast()
                                   : known->second.heard_at;
}

// @return what is kept for the service's order, if one runs; a later order
// begins anew
rollout_participant::watched_order*
rollout_participant::running(const service_name& service)
{
    if (!is_watching(service))
    {
        return nullptr;
    }
    const auto* order = m_gate.order_of(service);
    const auto [at, is_new] = m_orders.try_emplace(service);
    auto& known = at->second;
    if (is_new || known.order != order->offset)
    {
        known = {};
        known.order = order->offset;
        known.credit = first_credit(m_self, order->offset);
    }
    return &known;
}

} // namespace daleshelf
