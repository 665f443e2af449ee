#include "rollout_fleet.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

const service_name engines("engines");
const version_name old_version("v1");
const version_name target("v2");
const log_offset order_offset(5);

constexpr double step_seconds = 0.25;
// The target's servers start beside the others.
constexpr double boot_seconds = 1;
// A lease that nobody renews is taken by another host after this time, and its
// holder acts no more a second earlier.
constexpr double lease_seconds = 4;
constexpr double holder_seconds = 3;
constexpr double contact_seconds = 4;
constexpr double rollback_seconds = 5;
constexpr double bad_answers_bound = 50;
constexpr double loss_part = 0.3;
constexpr double usual_failures = 0.005;

} // namespace

rollout_fleet::rollout_fleet(rollout_fleet_plan plan)
    : m_plan(std::move(plan)), m_random(m_plan.seed)
{
    for (int number = 0; number < m_plan.hosts; ++number)
    {
        host made;
        made.name = host_id("edge-" + std::to_string(number));
        m_hosts.push_back(std::move(made));
        start(m_hosts.back());
        m_hosts.back().knows_order_at = random() * 2 * step_seconds;
    }
}

rollout_fleet_outcome rollout_fleet::play()
{
    const auto end = m_plan.duration + 20;
    for (; m_second < end; m_second += step_seconds)
    {
        for (const auto& trouble : m_plan.troubles)
        {
            const bool begins =
                m_second >= trouble.at && m_second - step_seconds < trouble.at;
            if (begins)
            {
                begin(trouble);
            }
        }
        choose_holder();
        for (auto& of : m_hosts)
        {
            step_host(of);
        }
    }
    return m_outcome;
}

void rollout_fleet::start(host& of)
{
    ++of.starts;
    of.waiting.clear();
    of.gate = std::make_unique<version_gate>();
    of.watch = std::make_unique<rollout_participant>(
        of.name, incarnation(of.starts), *of.gate);
    of.gate->record_server(engines, old_version, true, now());
    of.knows_order_at = m_second + step_seconds;
}

void rollout_fleet::begin(const rollout_trouble& trouble)
{
    using kind = rollout_trouble::kind;
    const auto until = m_second + trouble.seconds;
    switch (trouble.what)
    {
    case kind::loss:
        m_lossy_until = until;
        return;
    case kind::store_down:
        m_store_down_until = until;
        return;
    case kind::kill_holder:
        strike(m_hosts[m_holder], kind::kill, until);
        return;
    case kind::kill:
    case kind::cut:
    case kind::freeze:
        break;
    }
    for (auto& of : m_hosts)
    {
        if (random() < trouble.share)
        {
            strike(of, trouble.what, until);
        }
    }
}

void rollout_fleet::strike(host& of, rollout_trouble::kind what, double until)
{
    auto& hit = what == rollout_trouble::kind::kill  ? of.down_until
                : what == rollout_trouble::kind::cut ? of.cut_until
                                                     : of.frozen_until;
    hit = std::max(hit, until);
}

// The next holder is a host that the store answers.
void rollout_fleet::choose_holder()
{
    if (m_second < m_store_down_until)
    {
        m_store_troubled_at = m_second;
    }
    auto& holder = m_hosts[m_holder];
    if (is_heard(holder))
    {
        m_holder_from = m_second;
        lead(holder);
        return;
    }
    const auto silent_for = m_second - m_holder_from;
    if (silent_for < holder_seconds && runs(holder))
    {
        // Cut off, it goes on until its lease is over, and nobody hears it.
        return;
    }
    m_leading.reset();
    if (silent_for < lease_seconds || m_second < m_store_down_until)
    {
        return;
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        if (is_heard(m_hosts[index]))
        {
            m_holder = index;
            m_holder_from = m_second;
            ++m_token;
            return;
        }
    }
}

void rollout_fleet::lead(host& holder)
{
    if (m_outcome.end || m_second < holder.knows_order_at)
    {
        return;
    }
    const bool has_store = m_second >= m_store_down_until;
    if (!m_leading)
    {
        if (!has_store)
        {
            return;
        }
        m_leading = std::make_unique<rollout_controller>(
            rollout_order{engines, target, absl::Seconds(m_plan.duration),
                          order_offset},
            absl::UnixEpoch() + absl::Seconds(100), bound);
    }
    if (const auto own = holder.watch->report(engines))
    {
        m_leading->take(*own);
    }
    const auto step = m_leading->next(now());
    rollout_directive word{
        holder.name, engines, order_offset, rollout_phase::running,
        step.share,  m_token, ++m_sequence};
    tell(word);
    m_is_moving = step.share >= 1;
    if (step.end && has_store)
    {
        m_outcome.end = step.end;
        m_outcome.ended_at = m_second;
        word.phase = *step.end;
        word.sequence = ++m_sequence;
        tell(word);
    }
}

void rollout_fleet::tell(const rollout_directive& word)
{
    for (auto& of : m_hosts)
    {
        const bool is_lost = m_second < m_lossy_until && random() < loss_part;
        if (m_second < of.down_until || m_second < of.cut_until || is_lost)
        {
            continue;
        }
        of.waiting.push_back(word);
    }
}

void rollout_fleet::step_host(host& of)
{
    const bool is_troubled = m_second < of.down_until ||
                             m_second < of.cut_until ||
                             m_second < of.frozen_until;
    of.troubled_at = is_troubled ? m_second : of.troubled_at;
    if (m_second < of.down_until)
    {
        of.watch.reset();
        return;
    }
    if (!of.watch)
    {
        start(of);
    }
    if (m_second < of.frozen_until)
    {
        return;
    }
    if (m_second >= of.knows_order_at && m_second >= 0 &&
        m_second >= of.cut_until)
    {
        of.gate->set_order(
            {engines, target, absl::Seconds(m_plan.duration), order_offset});
        const bool reads =
            m_outcome.end && m_second >= m_store_down_until && random() < 0.1;
        if (reads)
        {
            of.gate->set_phase(engines, order_offset, *m_outcome.end, now());
        }
    }
    if (m_second >= boot_seconds)
    {
        of.gate->record_server(engines, target, false, now());
    }
    for (const auto& word : std::exchange(of.waiting, {}))
    {
        of.watch->hear(word, now());
        const bool is_lost = m_second < m_lossy_until && random() < loss_part;
        const auto report = of.watch->report(engines);
        if (m_leading && report && !is_lost && is_heard(of))
        {
            m_leading->take(*report);
        }
    }
    const auto mean = m_plan.requests_a_second * step_seconds /
                      static_cast<double>(m_hosts.size());
    const auto count = std::poisson_distribution<int>(mean)(m_random);
    for (int number = 0; number < count; ++number)
    {
        request(of);
    }
}

void rollout_fleet::request(host& of)
{
    const bool has_target = m_second >= boot_seconds;
    const auto picked = of.watch->pick_target(engines, now());
    const bool is_allowed = has_target && of.gate->allows(engines, target) &&
                            of.gate->order_of(engines) != nullptr;
    // Versions that are in use share the requests.
    const bool is_common =
        is_allowed &&
        (!of.gate->allows(engines, old_version) || random() < 0.5);
    const bool is_target = has_target && (picked || is_common);
    const auto& version = is_target ? target : old_version;
    const bool is_counted = is_in_touch(of) && m_second >= 0;
    if (m_second >= 0 && m_second < m_plan.duration)
    {
        m_outcome.sent += 1;
        m_outcome.exposed += is_counted && is_target ? 1 : 0;
    }
    if (is_counted && is_target && m_second > m_fifty_at + rollback_seconds)
    {
        m_outcome.exposed_late += 1;
    }
    of.watch->record_sent(engines, version);
    answer(of, version);
}

void rollout_fleet::answer(host& of, const version_name& version)
{
    const bool is_rare_route = random() < 0.3;
    const auto& how = m_plan.target;
    const bool is_bad_version = version == target &&
                                m_second >= how.from_second &&
                                (!how.on_one_route || is_rare_route);
    response_sample seen;
    seen.is_failure =
        random() < (is_bad_version ? how.failures : usual_failures);
    const bool is_slow = is_bad_version && random() < how.slow;
    std::lognormal_distribution<double> time(4.5, 0.5);
    seen.first = time(m_random) * (is_slow ? 4 : 1);
    seen.gap_ms = 20 + random() * 10;
    if (is_bad_version && (seen.is_failure || is_slow))
    {
        m_outcome.bad_answers += 1;
        m_outcome.bad_before_move += m_is_moving || m_outcome.end ? 0 : 1;
        if (m_outcome.bad_answers >= bad_answers_bound)
        {
            m_fifty_at = std::min(m_fifty_at, m_second);
        }
    }
    of.watch->note_answer(engines, version, is_rare_route ? "rare" : "usual",
                          seen);
}

bool rollout_fleet::runs(const host& of) const
{
    return m_second >= of.down_until && m_second >= of.frozen_until &&
           of.watch != nullptr;
}

bool rollout_fleet::is_heard(const host& of) const
{
    return runs(of) && m_second >= of.cut_until;
}

bool rollout_fleet::is_in_touch(const host& of) const
{
    return m_second - of.troubled_at > contact_seconds &&
           m_second - m_store_troubled_at > contact_seconds &&
           m_second >= m_lossy_until + contact_seconds;
}

absl::Time rollout_fleet::now() const
{
    return absl::UnixEpoch() + absl::Seconds(100 + m_second);
}

double rollout_fleet::random()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

} // namespace daleshelf
