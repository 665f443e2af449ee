#include "window_counts.hpp"

#include "generated/machine.pb.h"

namespace daleshelf
{

namespace
{

// `datagram_format::counts`; 1 and 2 are host states and quota messages.
constexpr std::uint32_t format_version = 3;

} // namespace

std::string encode(const window_counts& report)
{
    wire::WindowTold message;
    message.set_format(format_version);
    message.set_name(report.from.host.value());
    message.set_incarnation(report.from.started.value());
    message.set_window(report.window);
    message.set_is_question(report.is_request);
    for (const auto& [origin, counts] : report.counts)
    {
        auto& by_origin = *message.add_starts();
        by_origin.set_machine(origin.host.value());
        by_origin.set_incarnation(origin.started.value());
        for (const auto& [tenant, count] : counts)
        {
            auto& item = *by_origin.add_counts();
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
    window_counts report;
    report.from = {host_id(message.name()), incarnation(message.incarnation())};
    report.window = message.window();
    report.is_request = message.is_question();
    for (const auto& by_origin : message.starts())
    {
        const host_incarnation origin{host_id(by_origin.machine()),
                                      incarnation(by_origin.incarnation())};
        auto& counts = report.counts[origin];
        for (const auto& item : by_origin.counts())
        {
            counts[workspace_id(item.tenant())] = item.count();
        }
    }
    return report;
}

} // namespace daleshelf
