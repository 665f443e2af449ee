#include "rollout_service.hpp"

#include "topic_list.hpp"

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <peers/datagram_format.hpp>
#include <platform/rollout_format.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds step_interval{250};
constexpr milliseconds store_timeout{700};
// A host that has received no announcement for `silence_limit` reads the status
// of the order, and repeats this every `read_interval`: a fleet of 70 hosts
// without a holder makes two calls a second.
constexpr absl::Duration silence_limit = absl::Seconds(2);
constexpr absl::Duration read_interval = absl::Seconds(5);
// An order that is seen this soon after the start comes from the first list of
// the operator's records and is older than the process.
constexpr absl::Duration startup_time = absl::Seconds(2);
// Hosts report their counts on every fourth announcement, and at once if the
// target version has responded.
constexpr std::int64_t announcements_per_report = 4;
// The outcome of an order is announced for this long: longer than gossip takes
// to reach a fleet of 295 hosts, so that hosts that were paused receive it too.
constexpr absl::Duration outcome_announcement_time = absl::Seconds(10);

std::string_view phase_name(rollout_phase phase)
{
    switch (phase)
    {
    case rollout_phase::completed:
        return "completed";
    case rollout_phase::rolled_back:
        return "rolled_back";
    case rollout_phase::running:
        break;
    }
    return "running";
}

} // namespace

rollout_service::rollout_service(gateway_state& state, peer_exchange& peers,
                                 duty_service& duties)
    : m_state(state)
    , m_peers(peers)
    , m_duties(duties)
    , m_store(state.context, state.settings.store_address)
    , m_started_at(gateway_state::now())
{
    peers.set_rollout_listener([this](std::string_view bytes)
                               { return receive(bytes); });
}

void rollout_service::start()
{
    asio::co_spawn(
        m_state.context, [this] { return run(); }, asio::detached);
}

awaitable<void> rollout_service::run()
{
    boot_timer timer(m_state.context);
    while (true)
    {
        timer.expires_after(step_interval);
        co_await timer.async_wait(use_result);
        const auto services = m_state.servers.versions().services_with_orders();
        for (const auto& service : services)
        {
            co_await advance(service);
        }
        if (const auto token = m_duties.fencing_token())
        {
            announce_finished(*token);
        }
    }
}

awaitable<void> rollout_service::advance(const service_name& service)
{
    const auto& versions = m_state.servers.versions();
    if (!m_state.rollouts.has_running_order(service))
    {
        m_led_orders.erase(service);
        co_return;
    }
    // A copy: the order may be replaced during the call to the store.
    const auto order = *versions.order_of(service);
    if (const auto token = m_duties.fencing_token())
    {
        co_await lead(order, *token);
        co_return;
    }
    m_led_orders.erase(service);
    co_await follow(order);
}

// Executes the next step of an order as the holder of the duties.
awaitable<void> rollout_service::lead(const rollout_order& order,
                                      std::int64_t token)
{
    const auto current = m_led_orders.find(order.service);
    const bool is_started = current != m_led_orders.end() &&
                            current->second.token == token &&
                            current->second.plan.order() == order;
    if (!is_started)
    {
        const bool is_leader = co_await start_order(order, token);
        if (!is_leader)
        {
            co_return;
        }
    }
    const auto leading = m_led_orders.find(order.service);
    if (leading == m_led_orders.end())
    {
        co_return;
    }
    if (const auto own = m_state.rollouts.report(order.service))
    {
        leading->second.plan.add_report(*own);
    }
    const auto step = leading->second.plan.next_step(gateway_state::now());
    log_step(leading->second, step);
    announce(order, rollout_phase::running, step.share, token);
    if (step.final_phase)
    {
        co_await finish_order(order, *step.final_phase);
    }
}

// Reads what earlier holders have written, then writes that the order is
// running and since when.
// @return whether this host may execute the order
awaitable<bool> rollout_service::start_order(const rollout_order& order,
                                             std::int64_t token)
{
    m_led_orders.erase(order.service);
    const bool is_read = co_await read_statuses();
    if (!is_read || !m_state.rollouts.has_running_order(order.service))
    {
        co_return false;
    }
    auto status = status_of(order);
    if (!status)
    {
        status =
            rollout_status{order.service, order.target, rollout_phase::running,
                           order.offset, m_state.time_of_day()};
        const bool is_written = co_await write(*status);
        if (!is_written)
        {
            co_return false;
        }
    }
    const auto age = m_state.time_of_day() - status->ordered_at;
    const exposure_bound bound{m_state.settings.rollout_share,
                               m_state.settings.rollout_slack};
    m_led_orders.insert_or_assign(
        order.service,
        led_order{rollout_controller(order, gateway_state::now() - age, bound),
                  token, ""});
    co_return true;
}

// Follows an order as any other host: reads its status from the store only
// while no announcements arrive.
awaitable<void> rollout_service::follow(const rollout_order& order)
{
    const auto now = gateway_state::now();
    const auto [known, is_new] = m_first_seen_at.try_emplace(order.offset, now);
    const auto heard_at = std::max(
        known->second, m_state.rollouts.last_directive_at(order.service));
    // An order that is found at startup may have finished long ago.
    const bool is_old = is_new && now - m_started_at < startup_time;
    const bool hears_holder = now - heard_at < silence_limit;
    if (!is_old && (hears_holder || now - m_statuses_read_at < read_interval))
    {
        co_return;
    }
    m_statuses_read_at =
        now + absl::Milliseconds(absl::Uniform(m_state.random, 0, 1000));
    co_await read_statuses();
}

awaitable<void> rollout_service::finish_order(const rollout_order& order,
                                              rollout_phase phase)
{
    auto status = status_of(order);
    if (!status || !m_duties.fencing_token())
    {
        co_return;
    }
    status->phase = phase;
    const bool is_written = co_await write(*status);
    if (!is_written)
    {
        // Another holder may have written meanwhile; its record prevails.
        m_led_orders.erase(order.service);
        co_return;
    }
    auto& versions = m_state.servers.versions();
    const auto now = gateway_state::now();
    if (versions.set_phase(order.service, order.offset, phase, now))
    {
        // Old upstreams stop as soon as the operator has read the status.
        announce(order, phase, 0, m_led_orders.at(order.service).token);
        m_announced_until[order.service] = now + outcome_announcement_time;
        m_led_orders.erase(order.service);
    }
}

awaitable<bool> rollout_service::read_statuses()
{
    const auto listed = co_await list_topic(
        m_store, std::string(platform::status_topic), store_timeout);
    if (!listed)
    {
        co_return false;
    }
    for (const auto& record : listed->records)
    {
        apply_status(record);
    }
    m_status_topic_end = listed->end;
    co_return true;
}

void rollout_service::apply_status(const platform::keyed_record& record)
{
    const auto service = platform::rollout_service(record.key);
    if (!service || !record.value)
    {
        return;
    }
    try
    {
        const auto status =
            platform::read_rollout_status(*service, *record.value);
        m_statuses[*service] = status;
        if (status.phase != rollout_phase::running)
        {
            m_state.servers.versions().set_phase(
                *service, status.order, status.phase, gateway_state::now());
        }
    }
    catch (const json_error& error)
    {
        log(events::record_skipped,
            {{"topic", std::string(platform::status_topic)},
             {"key", record.key},
             {"offset", std::to_string(record.offset.value())},
             {"error", error.what()}});
    }
}

std::optional<rollout_status>
rollout_service::status_of(const rollout_order& order) const
{
    const auto known = m_statuses.find(order.service);
    if (known == m_statuses.end() || known->second.order != order.offset)
    {
        return std::nullopt;
    }
    return known->second;
}

// The append is conditional on the end of the topic, so that a holder that has
// been replaced cannot write.
awaitable<bool> rollout_service::write(const rollout_status& status)
{
    if (!m_status_topic_end)
    {
        co_return false;
    }
    const auto at = *m_status_topic_end;
    m_status_topic_end.reset();
    auto call = platform::append_call(
        platform::status_topic,
        {platform::encode_keyed(platform::rollout_key(status.service),
                                platform::write_rollout_status(status))},
        at);
    const auto response = co_await m_store.call(std::move(call), store_timeout);
    const auto result =
        response
            ? platform::read_append_response(response->status, response->body)
            : platform::append_response();
    const bool is_written =
        result.state == platform::append_response::outcome::appended;
    log(events::rollout_written,
        {{"service", status.service.value()},
         {"target", status.target.value()},
         {"state", std::string(phase_name(status.phase))},
         {"order", std::to_string(status.order.value())},
         {"at", std::to_string(at.value())},
         {"outcome", is_written ? "written" : "not_written"}});
    if (is_written)
    {
        m_status_topic_end = at.next();
        m_statuses[status.service] = status;
    }
    co_return is_written;
}

std::string rollout_service::receive(std::string_view bytes)
{
    if (format_of(bytes) == datagram_format::rollout_word)
    {
        return receive_announcement(bytes);
    }
    receive_report(bytes);
    return "";
}

// @return the report of this host, if due; otherwise empty
std::string rollout_service::receive_announcement(std::string_view bytes)
{
    const auto announcement = decode_rollout_directive(bytes);
    if (!announcement ||
        !m_state.rollouts.apply(*announcement, gateway_state::now()))
    {
        return "";
    }
    const bool is_due =
        announcement->sequence % announcements_per_report == 0 ||
        m_state.rollouts.has_unreported_responses(announcement->service);
    if (announcement->phase != rollout_phase::running || !is_due)
    {
        return "";
    }
    const auto report = m_state.rollouts.report(announcement->service);
    return report ? encode(*report) : "";
}

void rollout_service::receive_report(std::string_view bytes)
{
    const auto report = decode_rollout_report(bytes);
    if (!report)
    {
        return;
    }
    const auto leading = m_led_orders.find(report->service);
    if (leading != m_led_orders.end())
    {
        leading->second.plan.add_report(*report);
    }
}

void rollout_service::announce(const rollout_order& order, rollout_phase phase,
                               double share, std::int64_t token)
{
    const rollout_directive announcement{
        m_state.self, order.service, order.offset, phase,
        share,        token,         ++m_sequence};
    m_state.rollouts.apply(announcement, gateway_state::now());
    m_peers.broadcast(encode(announcement));
}

void rollout_service::announce_finished(std::int64_t token)
{
    const auto now = gateway_state::now();
    const auto& versions = m_state.servers.versions();
    for (const auto& [service, until] : m_announced_until)
    {
        const auto* order = versions.order_of(service);
        const auto phase = versions.phase_of(service);
        if (now < until && order != nullptr && phase)
        {
            announce(*order, *phase, 0, token);
        }
    }
}

// Logs one line per step. The share alone is no new step: it changes slightly
// with the requests that were counted.
void rollout_service::log_step(led_order& leading, const rollout_step& step)
{
    const bool is_logged = step.reason == leading.reason && !step.final_phase;
    if (is_logged)
    {
        return;
    }
    leading.reason = step.reason;
    const auto tallies = leading.plan.statistics();
    const auto version_verdict = leading.plan.analysis().verdict();
    log(events::rollout_step,
        {{"service", leading.plan.order().service.value()},
         {"target", leading.plan.order().target.value()},
         {"order", std::to_string(leading.plan.order().offset.value())},
         {"share", std::to_string(step.share)},
         {"end",
          step.final_phase ? std::string(phase_name(*step.final_phase)) : ""},
         {"reason", step.reason},
         {"sent_old", std::to_string(tallies.sent_old)},
         {"sent_target", std::to_string(tallies.sent_target)},
         {"answers",
          std::to_string(static_cast<std::int64_t>(version_verdict.responses))},
         {"against", std::to_string(version_verdict.highest_score)},
         {"proof", version_verdict.evidence},
         {"token", std::to_string(leading.token)}});
}

} // namespace daleshelf
