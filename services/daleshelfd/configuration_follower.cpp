#include "configuration_follower.hpp"

#include "control_thread.hpp"
#include "node_state.hpp"
#include "peer_service.hpp"
#include "peer_view.hpp"

#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <base/digest.hpp>
#include <base/http_status.hpp>
#include <http/event_stream.hpp>
#include <http/http_exchange.hpp>
#include <telemetry/log.hpp>
#include <utility>
#include <variant>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds long_poll{2000};
constexpr std::chrono::milliseconds no_wait{0};
constexpr absl::Duration tick_interval = absl::Milliseconds(100);
constexpr absl::Duration longest_proposal_wait = absl::Seconds(5);
constexpr absl::Duration coverage_interval = absl::Milliseconds(100);

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

configuration_follower::configuration_follower(control_thread& control,
                                               node_state& node,
                                               log_client& log,
                                               peer_service& peers,
                                               std::string stream)
    : m_control(control)
    , m_node(node)
    , m_log(log)
    , m_peers(peers)
    , m_stream(std::move(stream))
    , m_snapshot_stream(m_stream + "-snapshots")
    , m_replica(replica_options(), stable_hash(node.host().value()))
    , m_random(stable_hash(node.host().value()))
{
    using protocol::Envelope;
    m_peers.set_handler(
        Envelope::kRecordsRequest,
        [this](const std::string& address, const Envelope& envelope)
        {
            m_control.post([this, address, request = envelope.records_request()]
                           { answer_peer(address, request); });
        });
    m_peers.set_handler(Envelope::kRecordsReply,
                        [this](const std::string&, const Envelope& envelope)
                        {
                            m_control.post(
                                [this, reply = envelope.records_reply()]
                                { take_peer_records(reply); });
                        });
}

configuration_follower::~configuration_follower()
{
    end_watches();
}

void configuration_follower::start()
{
    m_control.post([this] { tick(); });
}

void configuration_follower::tick()
{
    update_peers_next();
    perform(m_replica.on_tick(absl::Now()));
    m_control.after(tick_interval, [this] { tick(); });
}

void configuration_follower::update_peers_next()
{
    const auto view = m_node.peers();
    log_offset next;
    bool has_peers = false;
    for (const auto& [id, item] : view->members)
    {
        if (!view->is_reachable(id))
        {
            continue;
        }
        next = std::max(next, item.applied);
        has_peers = true;
    }
    m_replica.set_peers_next(next, has_peers);
}

void configuration_follower::perform(const replica_actions& actions)
{
    for (const auto& action : actions)
    {
        std::visit([this](const auto& one) { perform_one(one); }, action);
    }
    if (m_replica.is_current() && !m_node.is_current())
    {
        m_node.set_current();
    }
}

void configuration_follower::perform_one(const read_records& action)
{
    m_log.read(m_stream, action.from, action.may_wait ? long_poll : no_wait,
               [this](log_read_result result)
               {
                   m_control.post(
                       [this, result = std::move(result)]
                       {
                           perform(m_replica.on_records(result, absl::Now()));
                           // The next read need not wait for a tick.
                           perform(m_replica.on_tick(absl::Now()));
                       });
               });
}

void configuration_follower::perform_one(const read_snapshot&)
{
    // The end of the stream first, then the last record.
    m_log.read(m_snapshot_stream, log_offset(INT64_MAX), no_wait,
               [this](log_read_result result)
               {
                   m_control.post([this, result = std::move(result)]
                                  { read_newest_snapshot(result); });
               });
}

void configuration_follower::read_newest_snapshot(const log_read_result& end)
{
    const bool is_reached = end.state != log_read_result::outcome::unreachable;
    if (!is_reached || end.next <= end.first)
    {
        perform(m_replica.on_snapshot("", is_reached, absl::Now()));
        return;
    }
    m_log.read(m_snapshot_stream, log_offset(end.next.value() - 1), no_wait,
               [this](log_read_result result)
               {
                   m_control.post(
                       [this, result = std::move(result)]
                       {
                           const bool has_any = !result.records.empty();
                           perform(m_replica.on_snapshot(
                               has_any ? result.records.back().data : "",
                               has_any, absl::Now()));
                       });
               });
}

void configuration_follower::perform_one(const append_record& action)
{
    m_log.append(m_stream, action.data,
                 [this](const log_append_result& result)
                 {
                     m_control.post(
                         [this, result]
                         { m_replica.on_appended(result, absl::Now()); });
                 });
}

void configuration_follower::perform_one(const append_snapshot& action)
{
    // A lost snapshot is written again by the next host that finds it due.
    m_log.append(m_snapshot_stream, action.data,
                 [](const log_append_result&) {});
}

void configuration_follower::perform_one(const ask_peer& action)
{
    // One that is known to have more, else any.
    const auto view = m_node.peers();
    const member* best = nullptr;
    std::size_t others = 0;
    for (const auto& [id, item] : view->members)
    {
        if (!view->is_reachable(id))
        {
            continue;
        }
        ++others;
        const bool is_better =
            best == nullptr || item.applied > best->applied ||
            (item.applied == best->applied && m_random() % others == 0);
        best = is_better ? &item : best;
    }
    if (best == nullptr)
    {
        return;
    }
    protocol::Envelope envelope;
    envelope.mutable_records_request()->set_from(action.from.value());
    m_peers.send(best->address, std::move(envelope));
}

void configuration_follower::answer_peer(
    const std::string& address, const protocol::RecordsRequest& request)
{
    std::vector<log_record> records;
    auto snapshot =
        m_replica.records_for_peer(log_offset(request.from()), records);
    protocol::Envelope envelope;
    auto& reply = *envelope.mutable_records_reply();
    reply.set_from(request.from());
    reply.set_is_current(m_replica.is_current());
    reply.set_snapshot(std::move(snapshot));
    for (auto& record : records)
    {
        auto& added = *reply.add_records();
        added.set_offset(record.offset.value());
        added.set_data(std::move(record.data));
    }
    m_peers.send(address, std::move(envelope));
}

void configuration_follower::take_peer_records(
    const protocol::RecordsReply& reply)
{
    std::vector<log_record> records;
    records.reserve(static_cast<std::size_t>(reply.records_size()));
    for (const auto& record : reply.records())
    {
        records.push_back({log_offset(record.offset()), record.data()});
    }
    perform(m_replica.on_peer_records(reply.snapshot(), records,
                                      reply.is_current(), absl::Now()));
}

void configuration_follower::perform_one(const state_changed& action)
{
    const auto& store = m_replica.store();
    m_node.set_configuration(std::make_shared<const configuration>(store));
    m_peers.set_applied(store.next());
    if (action.is_reset)
    {
        end_watches();
        return;
    }
    send_events(action.from);
}

void configuration_follower::perform_one(const change_settled& action)
{
    log(events::configuration_applied,
        {{"change", action.id.value()},
         {"offset", action.outcome.offset.value()},
         {"outcome", std::string(to_string(action.outcome.what))}});
    const auto found = m_waiting.find(action.id);
    if (found == m_waiting.end())
    {
        return;
    }
    const auto handlers = std::move(found->second);
    m_waiting.erase(found);
    for (const auto& handler : handlers)
    {
        handler(action.outcome);
    }
}

void configuration_follower::perform_one(const replica_warning& action)
{
    static constexpr std::array<const log_event*, 5> events_by_cause{
        &events::log_unreachable, &events::log_reachable,
        &events::log_went_back, &events::log_trimmed, &events::record_skipped};
    const auto& event =
        *events_by_cause.at(static_cast<std::size_t>(action.what));
    log(event, {{"offset", action.offset.value()},
                {"applied", m_replica.store().next().value()},
                {"cause", action.message}});
}

void configuration_follower::propose(change proposed, change_handler on_outcome,
                                     std::function<void()> on_full)
{
    m_control.post(
        [this, proposed = std::move(proposed), handler = std::move(on_outcome),
         full = std::move(on_full)]
        {
            const bool is_known =
                m_replica.find_change(proposed.id).has_value();
            if (!is_known && m_replica.is_full())
            {
                full();
                return;
            }
            if (const auto outcome = m_replica.propose(proposed))
            {
                handler(*outcome);
                return;
            }
            m_waiting[proposed.id].push_back(handler);
            m_control.after(longest_proposal_wait,
                            [this, id = proposed.id] { end_wait(id); });
            perform(m_replica.on_tick(absl::Now()));
        });
}

void configuration_follower::end_wait(const change_id& id)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end())
    {
        return;
    }
    const auto handlers = std::move(found->second);
    m_waiting.erase(found);
    for (const auto& handler : handlers)
    {
        handler(change_outcome());
    }
}

void configuration_follower::find_change(change_id id, lookup_handler on_found)
{
    m_control.post([this, id = std::move(id), handler = std::move(on_found)]
                   { handler(m_replica.find_change(id)); });
}

void configuration_follower::wait_for_change(change_id id, absl::Time deadline,
                                             coverage_handler on_done)
{
    m_control.post(
        [this, id = std::move(id), deadline, handler = std::move(on_done)]
        { check_coverage(id, deadline, handler); });
}

void configuration_follower::check_coverage(const change_id& id,
                                            absl::Time deadline,
                                            const coverage_handler& on_done)
{
    change_coverage coverage;
    coverage.outcome = m_replica.find_change(id);
    const bool is_settled =
        coverage.outcome &&
        coverage.outcome->what != change_outcome::state::pending;
    if (is_settled)
    {
        const auto needed = coverage.outcome->offset;
        coverage.in_force.push_back(m_node.host());
        const auto view = m_node.peers();
        for (const auto& [host, item] : view->members)
        {
            if (!view->is_reachable(host))
            {
                continue;
            }
            auto& list =
                item.applied > needed ? coverage.in_force : coverage.missing;
            list.push_back(host);
        }
    }
    const bool is_done = is_settled && coverage.missing.empty();
    if (is_done || absl::Now() >= deadline)
    {
        on_done(coverage);
        return;
    }
    m_peers.ask(coverage.missing);
    m_control.after(coverage_interval, [this, id, deadline, on_done]
                    { check_coverage(id, deadline, on_done); });
}

void configuration_follower::watch(log_offset from, std::int64_t count,
                                   std::shared_ptr<http_exchange> exchange)
{
    m_control.post(
        [this, from, count, exchange = std::move(exchange)]
        {
            const auto& store = m_replica.store();
            if (from < store.events_from())
            {
                http_response response;
                response.status = http_status::gone;
                response.body = boost::json::serialize(
                    boost::json::object{{"error", "offset_too_old"},
                                        {"first", store.events_from().value()},
                                        {"next", store.next().value()}});
                exchange->respond(std::move(response));
                return;
            }
            exchange->start_stream(200, "text/event-stream");
            watcher added{exchange, count};
            for (const auto& event : store.events())
            {
                if (event.offset >= from)
                {
                    send_event(added, event);
                }
            }
            m_watchers.push_back(std::move(added));
        });
}

void configuration_follower::send_event(watcher& target,
                                        const resource_event& event)
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

void configuration_follower::send_events(log_offset from)
{
    for (const auto& event : m_replica.store().events())
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

void configuration_follower::end_watches()
{
    // The watcher asks again, learns that its offset is too old, and lists.
    for (const auto& target : m_watchers)
    {
        target.exchange->finish();
    }
    m_watchers.clear();
}

void configuration_follower::ask_status(
    std::function<void(const follower_status&)> on_status)
{
    m_control.post(
        [this, handler = std::move(on_status)]
        {
            follower_status status;
            status.next = m_replica.store().next();
            status.skipped_records = m_replica.store().skipped();
            status.is_log_reachable = m_replica.is_log_reachable();
            status.last_contact = m_replica.last_contact();
            handler(status);
        });
}

} // namespace daleshelf
