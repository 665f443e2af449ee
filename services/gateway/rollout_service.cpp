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

constexpr milliseconds tick{250};
constexpr milliseconds store_time{700};
// A host that has heard no word for this long reads how the order stands, and
// again after this time: two calls a second of a fleet of 70 without a holder.
constexpr absl::Duration silence_time = absl::Seconds(2);
constexpr absl::Duration read_pause = absl::Seconds(5);
// What is in the first list of the operator's records is older than the host.
constexpr absl::Duration start_time = absl::Seconds(2);
// Hosts tell what they count with each fourth word, and at once what the target
// has answered.
constexpr std::int64_t words_a_report = 4;
// The end of an order is told on for this long: longer than states need to go
// round a fleet of 295, for hosts that stood still meanwhile.
constexpr absl::Duration end_told_time = absl::Seconds(10);

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
                               { return take(bytes); });
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
        timer.expires_after(tick);
        co_await timer.async_wait(use_result);
        const auto services = m_state.servers.versions().services_with_orders();
        for (const auto& service : services)
        {
            co_await tend(service);
        }
        if (const auto token = m_duties.token())
        {
            tell_ends(*token);
        }
    }
}

awaitable<void> rollout_service::tend(const service_name& service)
{
    const auto& versions = m_state.servers.versions();
    if (!m_state.rollouts.has_running_order(service))
    {
        m_led.erase(service);
        co_return;
    }
    // The order may be replaced while the store is asked.
    const auto order = *versions.order_of(service);
    if (const auto token = m_duties.token())
    {
        co_await lead(order, *token);
        co_return;
    }
    m_led.erase(service);
    co_await follow(order);
}

// Steps of the holder of the duties.
awaitable<void> rollout_service::lead(const rollout_order& order,
                                      std::int64_t token)
{
    const auto at = m_led.find(order.service);
    const bool is_begun = at != m_led.end() && at->second.token == token &&
                          at->second.plan.order() == order;
    if (!is_begun)
    {
        const bool may_lead = co_await begin(order, token);
        if (!may_lead)
        {
            co_return;
        }
    }
    const auto led = m_led.find(order.service);
    if (led == m_led.end())
    {
        co_return;
    }
    if (const auto own = m_state.rollouts.report(order.service))
    {
        led->second.plan.add_report(*own);
    }
    const auto step = led->second.plan.next_step(gateway_state::now());
    log_step(led->second, step);
    tell(order, rollout_phase::running, step.share, token);
    if (step.final_phase)
    {
        co_await finish(order, *step.final_phase);
    }
}

// 1. What earlier holders have written; 2. that the order runs, and since when.
// @return whether this host may carry it out
awaitable<bool> rollout_service::begin(const rollout_order& order,
                                       std::int64_t token)
{
    m_led.erase(order.service);
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
    m_led.insert_or_assign(
        order.service,
        led_order{rollout_controller(order, gateway_state::now() - age, bound),
                  token, ""});
    co_return true;
}

// Steps of any other host: how the order stands is read only while nobody
// tells.
awaitable<void> rollout_service::follow(const rollout_order& order)
{
    const auto now = gateway_state::now();
    const auto [known, is_new] = m_known_since.try_emplace(order.offset, now);
    const auto heard_at = std::max(
        known->second, m_state.rollouts.last_directive_at(order.service));
    // An order that is found at the start may have ended long ago.
    const bool is_old = is_new && now - m_started_at < start_time;
    const bool is_told = now - heard_at < silence_time;
    if (!is_old && (is_told || now - m_read_at < read_pause))
    {
        co_return;
    }
    m_read_at =
        now + absl::Milliseconds(absl::Uniform(m_state.random, 0, 1000));
    co_await read_statuses();
}

awaitable<void> rollout_service::finish(const rollout_order& order,
                                        rollout_phase phase)
{
    auto status = status_of(order);
    if (!status || !m_duties.token())
    {
        co_return;
    }
    status->phase = phase;
    const bool is_written = co_await write(*status);
    if (!is_written)
    {
        // Another holder may have written since: its word counts.
        m_led.erase(order.service);
        co_return;
    }
    auto& versions = m_state.servers.versions();
    const auto now = gateway_state::now();
    if (versions.set_phase(order.service, order.offset, phase, now))
    {
        // Old servers end as soon as the operator has read it.
        tell(order, phase, 0, m_led.at(order.service).token);
        m_told_until[order.service] = now + end_told_time;
        m_led.erase(order.service);
    }
}

awaitable<bool> rollout_service::read_statuses()
{
    const auto listed = co_await list_topic(
        m_store, std::string(platform::status_topic), store_time);
    if (!listed)
    {
        co_return false;
    }
    for (const auto& record : listed->records)
    {
        take_status(record);
    }
    m_status_end = listed->end;
    co_return true;
}

void rollout_service::take_status(const platform::keyed_record& record)
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

// A holder that was replaced writes nothing: the topic does not end any more
// where it believes.
awaitable<bool> rollout_service::write(const rollout_status& status)
{
    if (!m_status_end)
    {
        co_return false;
    }
    const auto at = *m_status_end;
    m_status_end.reset();
    auto call = platform::append_call(
        platform::status_topic,
        {platform::encode_keyed(platform::rollout_key(status.service),
                                platform::write_rollout_status(status))},
        at);
    const auto answer = co_await m_store.call(std::move(call), store_time);
    const auto result =
        answer ? platform::read_append_response(answer->status, answer->body)
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
        m_status_end = at.next();
        m_statuses[status.service] = status;
    }
    co_return is_written;
}

std::string rollout_service::take(std::string_view bytes)
{
    if (format_of(bytes) == datagram_format::rollout_word)
    {
        return take_word(bytes);
    }
    take_report(bytes);
    return "";
}

// @return this host's report, if it is due
std::string rollout_service::take_word(std::string_view bytes)
{
    const auto word = decode_rollout_directive(bytes);
    if (!word || !m_state.rollouts.apply(*word, gateway_state::now()))
    {
        return "";
    }
    const bool is_due =
        word->sequence % words_a_report == 0 ||
        m_state.rollouts.has_unreported_responses(word->service);
    if (word->phase != rollout_phase::running || !is_due)
    {
        return "";
    }
    const auto report = m_state.rollouts.report(word->service);
    return report ? encode(*report) : "";
}

void rollout_service::take_report(std::string_view bytes)
{
    const auto report = decode_rollout_report(bytes);
    if (!report)
    {
        return;
    }
    const auto led = m_led.find(report->service);
    if (led != m_led.end())
    {
        led->second.plan.add_report(*report);
    }
}

void rollout_service::tell(const rollout_order& order, rollout_phase phase,
                           double share, std::int64_t token)
{
    const rollout_directive word{m_state.self, order.service, order.offset,
                                 phase,        share,         token,
                                 ++m_sequence};
    m_state.rollouts.apply(word, gateway_state::now());
    m_peers.broadcast(encode(word));
}

void rollout_service::tell_ends(std::int64_t token)
{
    const auto now = gateway_state::now();
    const auto& versions = m_state.servers.versions();
    for (const auto& [service, until] : m_told_until)
    {
        const auto* order = versions.order_of(service);
        const auto phase = versions.phase_of(service);
        if (now < until && order != nullptr && phase)
        {
            tell(*order, *phase, 0, token);
        }
    }
}

// One line a step; the share goes with what was seen, a little each time.
void rollout_service::log_step(led_order& led, const rollout_step& step)
{
    const bool is_told = step.reason == led.reason && !step.final_phase;
    if (is_told)
    {
        return;
    }
    led.reason = step.reason;
    const auto seen = led.plan.statistics();
    const auto found = led.plan.analysis().verdict();
    log(events::rollout_step,
        {{"service", led.plan.order().service.value()},
         {"target", led.plan.order().target.value()},
         {"order", std::to_string(led.plan.order().offset.value())},
         {"share", std::to_string(step.share)},
         {"end",
          step.final_phase ? std::string(phase_name(*step.final_phase)) : ""},
         {"reason", step.reason},
         {"sent_old", std::to_string(seen.sent_old)},
         {"sent_target", std::to_string(seen.sent_target)},
         {"answers",
          std::to_string(static_cast<std::int64_t>(found.responses))},
         {"against", std::to_string(found.highest_score)},
         {"proof", found.evidence},
         {"token", std::to_string(led.token)}});
}

} // namespace daleshelf
