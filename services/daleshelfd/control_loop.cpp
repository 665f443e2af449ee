#include "control_loop.hpp"

#include "node_state.hpp"

#include <absl/time/clock.h>

#include <algorithm>
#include <http/event_stream.hpp>
#include <http/http_exchange.hpp>
#include <resources/resource_schema.hpp>
#include <telemetry/log.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds long_poll{2000};
constexpr absl::Duration read_pause = absl::Milliseconds(200);
constexpr absl::Duration append_pause = absl::Milliseconds(500);
constexpr absl::Duration longest_proposal_wait = absl::Seconds(5);
constexpr absl::Duration idle_interval = absl::Seconds(1);

std::string to_event_text(const resource_event& event)
{
    boost::json::object data{{"offset", event.offset.value()},
                             {"kind", std::string(to_string(event.key.kind))},
                             {"name", event.key.name}};
    if (event.now)
    {
        data["resource"] = to_json(*event.now);
    }
    server_sent_event shown;
    shown.event = event.now ? "put" : "delete";
    shown.id = std::to_string(event.offset.value());
    shown.data = boost::json::serialize(data);
    return to_event_stream(shown);
}

} // namespace

control_loop::control_loop(node_state& node, log_client& log,
                           std::string stream)
    : m_node(node)
    , m_log(log)
    , m_stream(std::move(stream))
    , m_mailbox(std::make_shared<mailbox<std::function<void()>>>())
    , m_thread([this] { run(); })
{
}

control_loop::~control_loop()
{
    post([this] { m_is_stopping = true; });
    m_thread.join();
    for (const auto& watcher : m_watchers)
    {
        watcher.exchange->finish();
    }
}

void control_loop::post(std::function<void()> work)
{
    m_mailbox->post(std::move(work));
}

void control_loop::run()
{
    start_read();
    while (!m_is_stopping)
    {
        const auto work = m_mailbox->take(idle_interval);
        if (work)
        {
            (*work)();
        }
    }
}

void control_loop::start_read()
{
    // NOTE: the callback may come after this object is gone; the mailbox
    // then keeps it without running it.
    m_log.read(m_stream, m_store.next(), long_poll,
               [this, box = m_mailbox](log_read_result result) {
                   box->post([this, result = std::move(result)]
                             { on_read(result); });
               });
}

void control_loop::on_read(const log_read_result& result)
{
    using outcome = log_read_result::outcome;
    set_reachable(result.state != outcome::unreachable, result.message);
    if (result.state == outcome::trimmed)
    {
        log(events::log_trimmed, {{"first", result.first.value()},
                                  {"applied", m_store.next().value()}});
    }
    if (result.state == outcome::records && result.next < m_store.next())
    {
        log(events::log_went_back, {{"log", result.next.value()},
                                    {"applied", m_store.next().value()}});
    }
    const auto before = m_store.next();
    for (const auto& record : result.records)
    {
        apply(record);
    }
    if (m_store.next() != before)
    {
        publish();
        send_events(before);
    }
    if (result.state == outcome::records && m_store.next() >= result.next)
    {
        m_node.set_current();
    }
    const bool is_stuck =
        result.state != outcome::records || result.next < m_store.next();
    if (!is_stuck)
    {
        start_read();
        return;
    }
    m_timers.after(read_pause, [this] { post([this] { start_read(); }); });
}

void control_loop::apply(const log_record& record)
{
    const auto applied = m_store.apply(record.offset, record.data);
    if (applied == resource_store::applied_record::skipped)
    {
        log(events::record_skipped, {{"offset", record.offset.value()}});
    }
}

void control_loop::publish()
{
    m_node.set_configuration(std::make_shared<const configuration>(m_store));
    auto entry = m_proposals.begin();
    while (entry != m_proposals.end())
    {
        const auto outcome = m_store.find_change(entry->first);
        if (!outcome)
        {
            ++entry;
            continue;
        }
        const auto ended = std::move(entry->second);
        entry = m_proposals.erase(entry);
        settle(ended.proposed.id, *outcome);
        for (const auto& handler : ended.waiting)
        {
            handler(*outcome);
        }
    }
}

void control_loop::settle(const change_id& id, const change_outcome& outcome)
{
    log(events::configuration_applied,
        {{"change", id.value()},
         {"offset", outcome.offset.value()},
         {"outcome", std::string(to_string(outcome.what))}});
}

void control_loop::propose(change proposed, change_handler on_outcome)
{
    post(
        [this, proposed = std::move(proposed), handler = std::move(on_outcome)]
        {
            if (const auto known = m_store.find_change(proposed.id))
            {
                handler(*known);
                return;
            }
            change_outcome invalid;
            invalid.what = change_outcome::state::invalid;
            invalid.offset = m_store.next();
            for (const auto& operation : proposed.operations)
            {
                for (auto& fault : find_faults(operation))
                {
                    invalid.faults.push_back(std::move(fault));
                }
            }
            if (!invalid.faults.empty())
            {
                handler(invalid);
                return;
            }
            auto& entry = m_proposals[proposed.id];
            const bool is_new = entry.waiting.empty();
            entry.proposed = proposed;
            entry.waiting.push_back(handler);
            if (is_new)
            {
                append(proposed);
            }
            m_timers.after(longest_proposal_wait, [this, id = proposed.id]
                           { post([this, id] { end_wait(id); }); });
        });
}

void control_loop::append(const change& proposed)
{
    m_log.append(m_stream, to_record(proposed),
                 [this, id = proposed.id,
                  box = m_mailbox](const log_append_result& result) {
                     box->post([this, id, result] { on_appended(id, result); });
                 });
}

void control_loop::on_appended(const change_id& id,
                               const log_append_result& result)
{
    if (result.state == log_append_result::outcome::appended ||
        !m_proposals.contains(id))
    {
        return; // replay settles it
    }
    // A second append of the same change id is harmless: it counts once.
    append_again_later(id);
}

void control_loop::append_again_later(const change_id& id)
{
    m_timers.after(append_pause,
                   [this, id]
                   {
                       post(
                           [this, id]
                           {
                               const auto found = m_proposals.find(id);
                               if (found != m_proposals.end())
                               {
                                   append(found->second.proposed);
                               }
                           });
                   });
}

void control_loop::end_wait(const change_id& id)
{
    const auto found = m_proposals.find(id);
    if (found == m_proposals.end())
    {
        return;
    }
    const auto waiting = std::exchange(found->second.waiting, {});
    for (const auto& handler : waiting)
    {
        handler(change_outcome());
    }
}

void control_loop::find_change(change_id id, lookup_handler on_found)
{
    post(
        [this, id = std::move(id), handler = std::move(on_found)]
        {
            auto found = m_store.find_change(id);
            if (!found && m_proposals.contains(id))
            {
                found = change_outcome();
            }
            handler(found);
        });
}

void control_loop::watch(log_offset from, std::int64_t count,
                         std::shared_ptr<http_exchange> exchange)
{
    post(
        [this, from, count, exchange = std::move(exchange)]
        {
            if (from < m_store.events_from())
            {
                http_response response;
                response.status = 410;
                response.body = boost::json::serialize(boost::json::object{
                    {"error", "offset_too_old"},
                    {"first", m_store.events_from().value()},
                    {"next", m_store.next().value()}});
                exchange->respond(std::move(response));
                return;
            }
            exchange->start_stream(200, "text/event-stream");
            watcher added{exchange, count};
            for (const auto& event : m_store.events())
            {
                if (event.offset >= from)
                {
                    send_event(added, event);
                }
            }
            m_watchers.push_back(std::move(added));
        });
}

void control_loop::send_event(watcher& target, const resource_event& event)
{
    if (target.is_done)
    {
        return;
    }
    target.is_done = !target.exchange->write(to_event_text(event));
    if (target.left > 0 && --target.left == 0)
    {
        target.exchange->finish();
        target.is_done = true;
    }
}

void control_loop::send_events(log_offset from)
{
    for (const auto& event : m_store.events())
    {
        if (event.offset < from)
        {
            continue;
        }
        for (auto& target : m_watchers)
        {
            send_event(target, event);
        }
    }
    std::erase_if(m_watchers, [](const watcher& target)
                  { return target.is_done || target.exchange->is_closed(); });
}

void control_loop::ask_status(
    std::function<void(const control_status&)> on_status)
{
    post(
        [this, handler = std::move(on_status)]
        {
            m_status.next = m_store.next();
            m_status.skipped_records = m_store.skipped();
            handler(m_status);
        });
}

void control_loop::set_reachable(bool is_reachable, const std::string& message)
{
    if (is_reachable)
    {
        m_status.last_contact = absl::Now();
    }
    if (m_status.is_log_reachable == is_reachable)
    {
        return;
    }
    m_status.is_log_reachable = is_reachable;
    if (is_reachable)
    {
        log(events::log_reachable);
        return;
    }
    log(events::log_unreachable, {{"cause", message}});
}

} // namespace daleshelf
