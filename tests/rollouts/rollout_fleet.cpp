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
// How long the target's upstreams take to start alongside the others.
constexpr double boot_seconds = 1;
// A lease that is not renewed is acquired by another host after this time; its
// holder stops acting one second earlier.
constexpr double lease_seconds = 4;
constexpr double holder_seconds = 3;
constexpr double recovery_seconds = 4;
constexpr double rollback_seconds = 5;
constexpr double bad_responses_limit = 50;
constexpr double loss_rate = 0.3;
constexpr double baseline_failure_rate = 0.005;

} // namespace

rollout_fleet::rollout_fleet(rollout_scenario scenario)
    : m_scenario(std::move(scenario)), m_random(m_scenario.seed)
{
    for (int number = 0; number < m_scenario.hosts; ++number)
    {
        host created;
        created.name = host_id("edge-" + std::to_string(number));
        m_hosts.push_back(std::move(created));
        start(m_hosts.back());
        m_hosts.back().knows_order_at = random() * 2 * step_seconds;
    }
}

rollout_fleet_outcome rollout_fleet::run()
{
    const auto end = m_scenario.duration + 20;
    for (; m_second < end; m_second += step_seconds)
    {
        for (const auto& fault : m_scenario.faults)
        {
            const bool is_due =
                m_second >= fault.at && m_second - step_seconds < fault.at;
            if (is_due)
            {
                inject(fault);
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
    of.queued.clear();
    of.gate = std::make_unique<version_gate>();
    of.participant = std::make_unique<rollout_participant>(
        of.name, incarnation(of.starts), *of.gate);
    of.gate->record_server(engines, old_version, true, now());
    of.knows_order_at = m_second + step_seconds;
}

void rollout_fleet::inject(const rollout_fault& fault)
{
    using kind = rollout_fault::kind;
    const auto until = m_second + fault.seconds;
    switch (fault.what)
    {
    case kind::packet_loss:
        m_lossy_until = until;
        return;
    case kind::store_outage:
        m_store_outage_until = until;
        return;
    case kind::crash_holder:
        apply_fault(m_hosts[m_holder], kind::crash, until);
        return;
    case kind::crash:
    case kind::partition:
    case kind::pause:
        break;
    }
    for (auto& of : m_hosts)
    {
        if (random() < fault.share)
        {
            apply_fault(of, fault.what, until);
        }
    }
}

void rollout_fleet::apply_fault(host& of, rollout_fault::kind what,
                                double until)
{
    auto& until_of_kind = what == rollout_fault::kind::crash ? of.down_until
                          : what == rollout_fault::kind::partition
                              ? of.partitioned_until
                              : of.paused_until;
    until_of_kind = std::max(until_of_kind, until);
}

// The next holder is a host that can reach the store.
void rollout_fleet::choose_holder()
{
    if (m_second < m_store_outage_until)
    {
        m_last_store_outage_at = m_second;
    }
    auto& holder = m_hosts[m_holder];
    if (is_reachable(holder))
    {
        m_holder_seen_at = m_second;
        lead(holder);
        return;
    }
    const auto unreachable_for = m_second - m_holder_seen_at;
    if (unreachable_for < holder_seconds && is_up(holder))
    {
        // A partitioned holder acts until its lease expires, but its
        // directives reach no host.
        return;
    }
    m_controller.reset();
    if (unreachable_for < lease_seconds || m_second < m_store_outage_until)
    {
        return;
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        if (is_reachable(m_hosts[index]))
        {
            m_holder = index;
            m_holder_seen_at = m_second;
            ++m_token;
            return;
        }
    }
}

void rollout_fleet::lead(host& holder)
{
    if (m_outcome.final_phase || m_second < holder.knows_order_at)
    {
        return;
    }
    const bool is_store_up = m_second >= m_store_outage_until;
    if (!m_controller)
    {
        if (!is_store_up)
        {
            return;
        }
        m_controller = std::make_unique<rollout_controller>(
            rollout_order{engines, target, absl::Seconds(m_scenario.duration),
                          order_offset},
            absl::UnixEpoch() + absl::Seconds(100), bound);
    }
    if (const auto own = holder.participant->report(engines))
    {
        m_controller->add_report(*own);
    }
    const auto step = m_controller->next_step(now());
    rollout_directive directive{
        holder.name, engines, order_offset, rollout_phase::running,
        step.share,  m_token, ++m_sequence};
    broadcast(directive);
    m_is_moving = step.share >= 1;
    if (step.final_phase && is_store_up)
    {
        m_outcome.final_phase = step.final_phase;
        m_outcome.ended_at = m_second;
        directive.phase = *step.final_phase;
        directive.sequence = ++m_sequence;
        broadcast(directive);
    }
}

void rollout_fleet::broadcast(const rollout_directive& directive)
{
    for (auto& of : m_hosts)
    {
        const bool is_lost = m_second < m_lossy_until && random() < loss_rate;
        if (m_second < of.down_until || m_second < of.partitioned_until ||
            is_lost)
        {
            continue;
        }
        of.queued.push_back(directive);
    }
}

void rollout_fleet::step_host(host& of)
{
    const bool has_fault = m_second < of.down_until ||
                           m_second < of.partitioned_until ||
                           m_second < of.paused_until;
    of.last_fault_at = has_fault ? m_second : of.last_fault_at;
    if (m_second < of.down_until)
    {
        of.participant.reset();
        return;
    }
    if (!of.participant)
    {
        start(of);
    }
    if (m_second < of.paused_until)
    {
        return;
    }
    if (m_second >= of.knows_order_at && m_second >= 0 &&
        m_second >= of.partitioned_until)
    {
        of.gate->set_order({engines, target, absl::Seconds(m_scenario.duration),
                            order_offset});
        const bool reads = m_outcome.final_phase &&
                           m_second >= m_store_outage_until && random() < 0.1;
        if (reads)
        {
            of.gate->set_phase(engines, order_offset, *m_outcome.final_phase,
                               now());
        }
    }
    if (m_second >= boot_seconds)
    {
        of.gate->record_server(engines, target, false, now());
    }
    for (const auto& directive : std::exchange(of.queued, {}))
    {
        of.participant->apply(directive, now());
        const bool is_lost = m_second < m_lossy_until && random() < loss_rate;
        const auto report = of.participant->report(engines);
        if (m_controller && report && !is_lost && is_reachable(of))
        {
            m_controller->add_report(*report);
        }
    }
    const auto mean = m_scenario.requests_per_second * step_seconds /
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
    const auto picked = of.participant->pick_target(engines, now());
    const bool is_allowed = has_target && of.gate->allows(engines, target) &&
                            of.gate->order_of(engines) != nullptr;
    // Allowed versions share the requests equally.
    const bool is_regular =
        is_allowed &&
        (!of.gate->allows(engines, old_version) || random() < 0.5);
    const bool is_target = has_target && (picked || is_regular);
    const auto& version = is_target ? target : old_version;
    const bool is_counted = is_recovered(of) && m_second >= 0;
    if (m_second >= 0 && m_second < m_scenario.duration)
    {
        m_outcome.sent += 1;
        m_outcome.exposed += is_counted && is_target ? 1 : 0;
    }
    if (is_counted && is_target &&
        m_second > m_bad_responses_limit_at + rollback_seconds)
    {
        m_outcome.exposed_late += 1;
    }
    of.participant->record_sent(engines, version);
    respond(of, version);
}

void rollout_fleet::respond(host& of, const version_name& version)
{
    const bool is_rare_route = random() < 0.3;
    const auto& how = m_scenario.target;
    const bool is_bad_version = version == target &&
                                m_second >= how.from_second &&
                                (!how.on_one_route || is_rare_route);
    response_sample sample;
    sample.is_failure =
        random() < (is_bad_version ? how.failure_rate : baseline_failure_rate);
    const bool is_slow = is_bad_version && random() < how.slow_rate;
    std::lognormal_distribution<double> time(4.5, 0.5);
    sample.first_latency = time(m_random) * (is_slow ? 4 : 1);
    sample.gap_ms = 20 + random() * 10;
    if (is_bad_version && (sample.is_failure || is_slow))
    {
        m_outcome.bad_responses += 1;
        m_outcome.bad_before_move +=
            m_is_moving || m_outcome.final_phase ? 0 : 1;
        if (m_outcome.bad_responses >= bad_responses_limit)
        {
            m_bad_responses_limit_at =
                std::min(m_bad_responses_limit_at, m_second);
        }
    }
    of.participant->record_response(engines, version,
                                    is_rare_route ? "rare" : "usual", sample);
}

bool rollout_fleet::is_up(const host& of) const
{
    return m_second >= of.down_until && m_second >= of.paused_until &&
           of.participant != nullptr;
}

bool rollout_fleet::is_reachable(const host& of) const
{
    return is_up(of) && m_second >= of.partitioned_until;
}

bool rollout_fleet::is_recovered(const host& of) const
{
    return m_second - of.last_fault_at > recovery_seconds &&
           m_second - m_last_store_outage_at > recovery_seconds &&
           m_second >= m_lossy_until + recovery_seconds;
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
