// Log lines and metrics of attempts and completed requests.
#include "request_flow.hpp"

#include <array>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

std::string_view name_of_kind(request_kind kind)
{
    switch (kind)
    {
    case request_kind::safe:
        return "safe";
    case request_kind::unsafe:
        return "unsafe";
    case request_kind::streaming:
        break;
    }
    return "streaming";
}

// Appends how much this host knew when it decided on a resumed stream.
void add_evidence(std::vector<log_field>& fields, const found_origin& found)
{
    fields.emplace_back("list_offset", found.list.next.value());
    fields.emplace_back("list_age_ms",
                        absl::ToInt64Milliseconds(found.list.age));
    fields.emplace_back("list_confirmed",
                        found.is_list_confirmed ? "yes" : "no");
    fields.emplace_back("replies", static_cast<std::int64_t>(found.replies));
}

} // namespace

void request_flow::log_attempt(const server_entry& server,
                               attempt_result result) const
{
    if (result == attempt_result::answered ||
        result == attempt_result::abandoned)
    {
        return;
    }
    static constexpr std::array<std::string_view, 8> names{
        "answered",     "not_run", "not_reached", "no_path",
        "server_error", "broken",  "late",        "abandoned"};
    m_state.meter.count_failed_attempt(
        names.at(static_cast<std::size_t>(result)));
    log(events::upstream_failed,
        {{"id", m_facts.id.value()},
         {"server", server.id.value()},
         {"born", std::to_string(server.started_at.value())},
         {"version", server.version.value()},
         {"end", std::string(names.at(static_cast<std::size_t>(result)))},
         {"error", std::string(name_of(m_connect_error))},
         {"fault", std::string(name_of(m_response_fault))},
         {"attempts", std::to_string(m_attempts)},
         {"ms", std::to_string(elapsed().count())}});
}

// Logs an attempt that continues a stream of an earlier one.
void request_flow::log_resumption(const server_entry& server) const
{
    const bool is_taken_up = m_facts.resumed || m_facts.last_event;
    if (!m_response.has_begun() && !is_taken_up)
    {
        return;
    }
    const auto after = last_event() ? last_event() : m_facts.last_event;
    const auto begun_by =
        is_taken_up ? m_facts.resumed.value_or(request_id()) : m_facts.id;
    const auto source = m_origin ? m_origin->source : origin_source::own;
    std::vector<log_field> fields{{"id", m_facts.id.value()},
                                  {"begun_by", begun_by.value()},
                                  {"source", std::string(name_of(source))},
                                  {"last_event", after.value_or(0)},
                                  {"server", server.id.value()},
                                  {"version", server.version.value()},
                                  {"attempts", m_attempts}};
    if (m_origin)
    {
        add_evidence(fields, *m_origin);
    }
    log(events::stream_resumed, fields);
}

void request_flow::log_unknown_version() const
{
    std::vector<log_field> fields{
        {"id", m_facts.id.value()},
        {"begun_by", m_facts.resumed.value_or(request_id()).value()},
        {"service", m_service->name.value()}};
    add_evidence(fields, *m_origin);
    log(events::stream_version_unknown, fields);
}

void request_flow::count_outcome(std::string_view outcome)
{
    using seconds = std::chrono::duration<double>;
    request_summary summary;
    summary.route = m_route;
    summary.outcome = outcome;
    summary.hall = m_server_hall;
    summary.attempts = m_attempts;
    summary.seconds = seconds(monotonic::now() - m_request.received).count();
    m_state.meter.count(summary);
}

void request_flow::log_outcome(std::string_view outcome)
{
    count_outcome(outcome);
    log(events::request_ended,
        {{"id", m_facts.id.value()},
         {"outcome", std::string(outcome)},
         {"kind", std::string(name_of_kind(m_route->kind))},
         {"tenant", m_tenant == nullptr ? "" : m_tenant->name.value()},
         {"cost", std::to_string(static_cast<std::int64_t>(m_quota_cost))},
         {"status", std::to_string(m_response.status())},
         {"attempts", std::to_string(m_attempts)},
         {"ms", std::to_string(elapsed().count())}});
}

} // namespace daleshelf
