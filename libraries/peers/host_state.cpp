#include "host_state.hpp"

#include "generated/machine.pb.h"

namespace daleshelf
{

namespace
{

constexpr std::uint32_t format_version = 1;

void add_counts(wire::MachineState& message, const host_incarnation& origin,
                const counts_by_window& counts)
{
    for (const auto& [window, by_tenant] : counts)
    {
        auto& report = *message.add_counts();
        report.set_machine(origin.host.value());
        report.set_incarnation(origin.started.value());
        report.set_window(window);
        for (const auto& [tenant, count] : by_tenant)
        {
            auto& item = *report.add_counts();
            item.set_tenant(tenant.value());
            item.set_count(count);
        }
    }
}

void add_service(wire::ServiceState& message, const service_report& report)
{
    message.set_service(report.service.value());
    message.set_prompts(report.work.prompts);
    message.set_read_tokens(report.work.read_tokens);
    message.set_read_tokens_squared(report.work.read_tokens_squared);
    message.set_allowed_tokens(report.work.allowed_tokens);
    const auto& learned = report.learned;
    message.set_first_ms(static_cast<float>(learned.first_ms));
    message.set_read_ms_per_token(
        static_cast<float>(learned.read_ms_per_token));
    message.set_doubtful_part(static_cast<float>(learned.doubtful_part));
    message.set_peers_part(static_cast<float>(learned.peers_part));
    message.set_gap_ms(static_cast<float>(learned.gap_ms));
    message.set_gap_ms_per_generation(
        static_cast<float>(learned.gap_ms_per_generation));
    message.set_generation_ms_per_token(
        static_cast<float>(learned.generation_ms_per_token));
    message.set_answer_ms(static_cast<float>(learned.answer_ms));
    message.set_learned_prompts(static_cast<float>(learned.prompts));
    message.set_learned_generations(static_cast<float>(learned.generations));
    message.set_first_error(static_cast<float>(learned.first_error));
}

service_report read_service(const wire::ServiceState& message)
{
    service_report report;
    report.service = service_name(message.service());
    report.work = {message.prompts(), message.read_tokens(),
                   message.read_tokens_squared(), message.allowed_tokens()};
    auto& learned = report.learned;
    learned.first_ms = message.first_ms();
    learned.read_ms_per_token = message.read_ms_per_token();
    learned.doubtful_part = message.doubtful_part();
    learned.peers_part = message.peers_part();
    learned.gap_ms = message.gap_ms();
    learned.gap_ms_per_generation = message.gap_ms_per_generation();
    learned.generation_ms_per_token = message.generation_ms_per_token();
    learned.answer_ms = message.answer_ms();
    learned.prompts = message.learned_prompts();
    learned.generations = message.learned_generations();
    learned.first_error = message.first_error();
    return report;
}

void add_lists(wire::MachineState& message, const host_state& state)
{
    for (const auto& report : state.services)
    {
        add_service(*message.add_services(), report);
    }
    for (const auto& load : state.loads)
    {
        auto& item = *message.add_loads();
        item.set_server(load.server.value());
        item.set_active(load.active);
        item.set_unread_tokens(load.unread_tokens);
    }
    for (const auto& speed : state.speeds)
    {
        auto& item = *message.add_speeds();
        item.set_server(speed.server.value());
        item.set_born(speed.started_at.value());
        item.set_slowdown(static_cast<float>(speed.slowdown));
        item.set_age_ms(speed.age_ms);
    }
    add_counts(message, {}, state.counts);
    for (const auto& [origin, counts] : state.relayed_counts)
    {
        add_counts(message, origin, counts);
    }
    for (const auto& host : state.known_hosts)
    {
        auto& item = *message.add_machines();
        item.set_name(host.name.value());
        item.set_address(host.address);
        item.set_hall(host.hall.value());
    }
}

void read_lists(const wire::MachineState& message, host_state& state)
{
    for (const auto& item : message.services())
    {
        state.services.push_back(read_service(item));
    }
    for (const auto& item : message.loads())
    {
        state.loads.push_back(
            {upstream_id(item.server()), item.active(), item.unread_tokens()});
    }
    for (const auto& item : message.speeds())
    {
        state.speeds.push_back({upstream_id(item.server()),
                                upstream_birth(item.born()), item.slowdown(),
                                item.age_ms()});
    }
    for (const auto& report : message.counts())
    {
        auto& counts =
            report.machine().empty()
                ? state.counts
                : state.relayed_counts[{host_id(report.machine()),
                                        incarnation(report.incarnation())}];
        for (const auto& item : report.counts())
        {
            counts[report.window()][workspace_id(item.tenant())] = item.count();
        }
    }
    for (const auto& item : message.machines())
    {
        state.known_hosts.push_back(
            {host_id(item.name()), item.address(), hall_id(item.hall())});
    }
}

} // namespace

std::string encode(const host_state& state)
{
    wire::MachineState message;
    message.set_format(format_version);
    message.set_name(state.self.name.value());
    message.set_address(state.self.address);
    message.set_incarnation(state.started.value());
    message.set_sequence(state.sequence);
    message.set_hall(state.hall.value());
    message.set_wall_time_ms(state.wall_time_ms);
    message.set_configuration_version(state.configuration_version);
    message.set_servers_offset(state.servers_offset.value());
    message.set_is_stopping(state.is_stopping);
    message.set_reaches_store(state.reaches_store);
    message.set_is_partitioned(state.is_partitioned);
    message.set_fleet_size(state.fleet_size);
    message.set_duty_holder(state.duty_holder.value());
    message.set_duty_token(state.duty_token);
    message.set_released_token(state.released_token);
    message.set_store_answer_age_ms(state.store_answer_age_ms);
    add_lists(message, state);
    return message.SerializeAsString();
}

std::optional<host_state> decode_host_state(std::string_view bytes)
{
    wire::MachineState message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        message.format() != format_version || message.name().empty())
    {
        return std::nullopt;
    }
    host_state state;
    state.self = {host_id(message.name()), message.address()};
    state.started = incarnation(message.incarnation());
    state.sequence = message.sequence();
    state.hall = hall_id(message.hall());
    state.wall_time_ms = message.wall_time_ms();
    state.configuration_version = message.configuration_version();
    state.servers_offset = log_offset(message.servers_offset());
    state.is_stopping = message.is_stopping();
    state.reaches_store = message.reaches_store();
    state.is_partitioned = message.is_partitioned();
    state.fleet_size = message.fleet_size();
    state.duty_holder = host_id(message.duty_holder());
    state.duty_token = message.duty_token();
    state.released_token = message.released_token();
    state.store_answer_age_ms = message.store_answer_age_ms();
    read_lists(message, state);
    return state;
}

} // namespace daleshelf
