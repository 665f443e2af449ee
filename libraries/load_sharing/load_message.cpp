#include "load_message.hpp"

#include "generated/load.pb.h"
#include "name_list.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace daleshelf
{

namespace
{

// Format number; see peers/datagram_format.hpp.
constexpr std::uint32_t load_format = 10;
constexpr std::size_t max_loads = 1200;
constexpr std::size_t max_demand = 256;
// Hosts of the largest hall, with room: 985 hosts in one hall.
constexpr std::size_t max_included = 1024;
// Sums of 1,024 messages of this size fit into 64 bits. No upstream holds as
// many tokens.
constexpr std::int64_t max_count = std::int64_t{1} << 40;
constexpr double max_slots = 1e9;
// As the ratios that slowdowns are estimated from.
constexpr float max_slowdown = 8;
constexpr int max_rank = 9;

using load_entry = std::pair<upstream_id, server_load>;
using demand_entry = std::pair<std::string, float>;

bool is_count(std::int64_t value)
{
    return value >= 0 && value <= max_count;
}

// Receivers reject a whole message for one invalid count.
std::int64_t limit_count(std::int64_t value)
{
    return std::clamp<std::int64_t>(value, 0, max_count);
}

double limit_slots(double slots)
{
    return std::isfinite(slots) ? std::clamp(slots, 0.0, max_slots) : 0;
}

bool is_slowdown(double value)
{
    return std::isfinite(value) && value > 0;
}

bool is_scope(std::uint32_t value)
{
    return value >= static_cast<std::uint32_t>(load_scope::host) &&
           value <= static_cast<std::uint32_t>(load_scope::fleet);
}

bool is_listable(const std::string& name)
{
    return !name.empty() && name.size() <= max_listed_name;
}

// @return the entries with most requests, by name
std::vector<load_entry> largest_loads(const shared_loads& report,
                                      std::size_t limit)
{
    std::vector<load_entry> loads;
    for (const auto& entry : report.loads)
    {
        if (is_listable(entry.first.value()))
        {
            loads.emplace_back(entry);
        }
    }
    std::sort(loads.begin(), loads.end(),
              [](const auto& left, const auto& right)
              {
                  return std::tie(right.second.active, left.first) <
                         std::tie(left.second.active, right.first);
              });
    loads.resize(std::min(loads.size(), limit));
    std::sort(loads.begin(), loads.end(),
              [](const auto& left, const auto& right)
              { return left.first < right.first; });
    return loads;
}

// @return the keys with most slots, in their order
std::vector<demand_entry> largest_demand(const shared_loads& report,
                                         std::size_t limit)
{
    std::map<std::string, double> slots;
    for (const auto& entry : report.demand)
    {
        auto key = entry.service.value() + '\0' + entry.workspace.value() +
                   '\0' + static_cast<char>(entry.rank);
        if (is_listable(key))
        {
            slots[std::move(key)] += entry.slots;
        }
    }
    std::vector<demand_entry> demand;
    demand.reserve(slots.size());
    for (const auto& [key, sum] : slots)
    {
        demand.emplace_back(key, static_cast<float>(limit_slots(sum)));
    }
    std::stable_sort(demand.begin(), demand.end(),
                     [](const auto& left, const auto& right)
                     { return left.second > right.second; });
    demand.resize(std::min(demand.size(), limit));
    std::sort(demand.begin(), demand.end());
    return demand;
}

void add_loads(wire::LoadMessage& message, const shared_loads& report,
               std::size_t limit)
{
    const auto loads = largest_loads(report, limit);
    std::vector<std::string_view> names;
    for (const auto& [server, load] : loads)
    {
        const auto slowdown = report.slowdowns.find(server);
        if (slowdown != report.slowdowns.end() && is_slowdown(slowdown->second))
        {
            message.add_slow_servers(static_cast<std::uint32_t>(names.size()));
            message.add_slowdowns(static_cast<float>(slowdown->second));
        }
        names.emplace_back(server.value());
        message.add_active(limit_count(load.active));
        message.add_unread_tokens(limit_count(load.unread_tokens));
        message.add_memory_tokens(limit_count(load.memory_tokens));
    }
    message.set_servers(encode_names(names));
}

void add_demand(wire::LoadMessage& message, const shared_loads& report,
                std::size_t limit)
{
    const auto demand = largest_demand(report, limit);
    std::vector<std::string_view> keys;
    for (const auto& [key, slots] : demand)
    {
        keys.emplace_back(key);
        message.add_demand_slots(slots);
    }
    message.set_demand_keys(encode_names(keys));
}

void add_included(wire::LoadMessage& encoded, const load_message& message)
{
    std::vector<std::string_view> names;
    for (const auto& [host, sequence] : message.included)
    {
        if (is_listable(host.value()) && names.size() < max_included)
        {
            names.emplace_back(host.value());
            encoded.add_included(sequence);
        }
    }
    encoded.set_included_hosts(encode_names(names));
}

bool read_slowdowns(const wire::LoadMessage& message,
                    const std::vector<std::string>& names, shared_loads& report)
{
    if (message.slowdowns_size() != message.slow_servers_size())
    {
        return false;
    }
    for (int index = 0; index < message.slowdowns_size(); ++index)
    {
        const auto slowdown = message.slowdowns(index);
        const std::size_t server = message.slow_servers(index);
        if (server >= names.size() || !is_slowdown(slowdown))
        {
            return false;
        }
        report.slowdowns[upstream_id(names[server])] =
            std::min(slowdown, max_slowdown);
    }
    return true;
}

bool read_loads(const wire::LoadMessage& message, shared_loads& report)
{
    const auto names = decode_names(message.servers(), max_loads);
    if (!names)
    {
        return false;
    }
    const auto count = static_cast<int>(names->size());
    if (message.active_size() != count ||
        message.unread_tokens_size() != count ||
        message.memory_tokens_size() != count)
    {
        return false;
    }
    for (int index = 0; index < count; ++index)
    {
        const server_load load{message.active(index),
                               message.unread_tokens(index),
                               message.memory_tokens(index)};
        if (!is_count(load.active) || !is_count(load.unread_tokens) ||
            !is_count(load.memory_tokens))
        {
            return false;
        }
        report.loads[upstream_id((*names)[static_cast<std::size_t>(index)])] =
            load;
    }
    return read_slowdowns(message, *names, report);
}

std::optional<workspace_demand> read_demand_key(const std::string& key)
{
    const auto service_end = key.find('\0');
    if (service_end == std::string::npos || service_end + 3 > key.size() ||
        key[key.size() - 2] != '\0' || key.back() < 0 || key.back() > max_rank)
    {
        return std::nullopt;
    }
    const auto workspace =
        key.substr(service_end + 1, key.size() - service_end - 3);
    return workspace_demand{service_name(key.substr(0, service_end)),
                            workspace_id(workspace), key.back()};
}

bool read_demand(const wire::LoadMessage& message, shared_loads& report)
{
    const auto keys = decode_names(message.demand_keys(), max_demand);
    if (!keys || message.demand_slots_size() != static_cast<int>(keys->size()))
    {
        return false;
    }
    for (int index = 0; index < message.demand_slots_size(); ++index)
    {
        auto entry = read_demand_key((*keys)[static_cast<std::size_t>(index)]);
        const double slots = message.demand_slots(index);
        if (!entry || !std::isfinite(slots) || slots < 0 || slots > max_slots)
        {
            return false;
        }
        entry->slots = slots;
        report.demand.push_back(std::move(*entry));
    }
    return true;
}

bool read_included(const wire::LoadMessage& encoded, load_message& message)
{
    const auto hosts = decode_names(encoded.included_hosts(), max_included);
    if (!hosts || encoded.included_size() != static_cast<int>(hosts->size()))
    {
        return false;
    }
    for (int index = 0; index < encoded.included_size(); ++index)
    {
        const host_id host((*hosts)[static_cast<std::size_t>(index)]);
        if (encoded.included(index) < 0)
        {
            return false;
        }
        message.included[host] = encoded.included(index);
    }
    return true;
}

bool is_valid_head(const wire::LoadMessage& encoded)
{
    return encoded.format() == load_format && is_scope(encoded.scope()) &&
           is_listable(encoded.host()) &&
           encoded.hall().size() <= max_listed_name &&
           encoded.sequence() >= 0 && encoded.incarnation() >= 0;
}

} // namespace

std::string encode(const load_message& message, std::size_t max_size)
{
    wire::LoadMessage encoded;
    encoded.set_format(load_format);
    encoded.set_scope(static_cast<std::uint32_t>(message.scope));
    encoded.set_host(message.host.value());
    encoded.set_hall(message.hall.value());
    encoded.set_incarnation(message.started.value());
    encoded.set_sequence(message.sequence);
    add_included(encoded, message);
    add_demand(encoded, message.report, max_demand);
    auto limit = std::min(max_loads, message.report.loads.size());
    while (true)
    {
        auto shortened = encoded;
        add_loads(shortened, message.report, limit);
        if (shortened.ByteSizeLong() <= max_size || limit == 0)
        {
            return shortened.SerializeAsString();
        }
        limit -= limit / 16 + 1;
    }
}

std::optional<load_message> decode_load_message(std::string_view bytes)
{
    wire::LoadMessage encoded;
    if (bytes.size() > max_load_message_size ||
        !encoded.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        !is_valid_head(encoded))
    {
        return std::nullopt;
    }
    load_message message;
    message.scope = static_cast<load_scope>(encoded.scope());
    message.host = host_id(encoded.host());
    message.hall = hall_id(encoded.hall());
    message.started = incarnation(encoded.incarnation());
    message.sequence = encoded.sequence();
    if (!read_loads(encoded, message.report) ||
        !read_demand(encoded, message.report) ||
        !read_included(encoded, message))
    {
        return std::nullopt;
    }
    return message;
}

} // namespace daleshelf
