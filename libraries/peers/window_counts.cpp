#include "window_counts.hpp"

#include "generated/machine.pb.h"

namespace daleshelf
{

namespace
{

// Formats 1 and 2 are states of machines and messages of quotas.
constexpr std::uint32_t format_version = 3;

} // namespace

std::string encode(const window_counts& told)
{
    wire::WindowTold message;
    message.set_format(format_version);
    message.set_name(told.from.machine.value());
    message.set_incarnation(told.from.started.value());
    message.set_window(told.window);
    message.set_is_question(told.is_question);
    for (const auto& [start, counts] : told.counts)
    {
        auto& by_start = *message.add_starts();
        by_start.set_machine(start.machine.value());
        by_start.set_incarnation(start.started.value());
        for (const auto& [tenant, count] : counts)
        {
            auto& item = *by_start.add_counts();
            item.set_tenant(tenant.value());
            item.set_count(count);
        }
    }
    return message.SerializeAsString();
}

std::optional<window_counts> decode_window_counts(std::string_view bytes)
{
    wire::WindowTold message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        message.format() != format_version || message.name().empty())
    {
        return std::nullopt;
    }
    window_counts told;
    told.from = {host_id(message.name()), incarnation(message.incarnation())};
    told.window = message.window();
    told.is_question = message.is_question();
    for (const auto& by_start : message.starts())
    {
        const counting_start start{host_id(by_start.machine()),
                                   incarnation(by_start.incarnation())};
        auto& counts = told.counts[start];
        for (const auto& item : by_start.counts())
        {
            counts[workspace_id(item.tenant())] = item.count();
        }
    }
    return told;
}

} // namespace daleshelf
