#include "rollout_message.hpp"

#include "generated/rollout.pb.h"

#include <cmath>

namespace daleshelf
{

namespace
{

// Formats 1 to 3 are host states, quota messages and usage window counts.
constexpr std::uint32_t directive_format = 4;
constexpr std::uint32_t report_format = 5;

void write_bins(google::protobuf::RepeatedPtrField<wire::TimeBin>& bins,
                const time_histogram& histogram)
{
    for (const auto& [bin, count] : histogram.bins())
    {
        auto& item = *bins.Add();
        item.set_bin(static_cast<std::uint32_t>(bin));
        item.set_count(static_cast<std::int64_t>(count));
    }
}

time_histogram
read_bins(const google::protobuf::RepeatedPtrField<wire::TimeBin>& bins)
{
    time_histogram histogram;
    for (const auto& item : bins)
    {
        histogram.add_bin(static_cast<int>(item.bin()),
                          static_cast<double>(item.count()));
    }
    return histogram;
}

void write_routes(wire::RolloutReport& message,
                  const statistics_by_route& by_route, bool is_target)
{
    for (const auto& [route, response_counts] : by_route)
    {
        auto& item = *message.add_routes();
        item.set_route(route);
        item.set_is_target(is_target);
        item.set_answers(static_cast<std::int64_t>(response_counts.responses));
        item.set_failures(static_cast<std::int64_t>(response_counts.failures));
        write_bins(*item.mutable_first(), response_counts.first_latency);
        write_bins(*item.mutable_gaps(), response_counts.gaps);
    }
}

} // namespace

std::string encode(const rollout_directive& directive)
{
    wire::RolloutWord message;
    message.set_format(directive_format);
    message.set_name(directive.sender.value());
    message.set_service(directive.service.value());
    message.set_order(directive.order.value());
    message.set_phase(static_cast<std::uint32_t>(directive.phase));
    message.set_share(directive.share);
    message.set_token(directive.token);
    message.set_sequence(directive.sequence);
    return message.SerializeAsString();
}

std::string encode(const rollout_report& report)
{
    wire::RolloutReport message;
    message.set_format(report_format);
    message.set_name(report.sender.value());
    message.set_incarnation(report.sender_incarnation.value());
    message.set_service(report.service.value());
    message.set_order(report.order.value());
    message.set_sent_old(report.statistics.sent_old);
    message.set_sent_target(report.statistics.sent_target);
    write_routes(message, report.statistics.old_version, false);
    write_routes(message, report.statistics.target, true);
    return message.SerializeAsString();
}

std::optional<rollout_directive>
decode_rollout_directive(std::string_view bytes)
{
    wire::RolloutWord parsed;
    const bool is_parsed =
        parsed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!is_parsed || parsed.format() != directive_format ||
        parsed.name().empty() ||
        parsed.phase() >
            static_cast<std::uint32_t>(rollout_phase::rolled_back) ||
        !std::isfinite(parsed.share()) || parsed.share() < 0 ||
        parsed.share() > 1)
    {
        return std::nullopt;
    }
    return rollout_directive{host_id(parsed.name()),
                             service_name(parsed.service()),
                             log_offset(parsed.order()),
                             static_cast<rollout_phase>(parsed.phase()),
                             parsed.share(),
                             parsed.token(),
                             parsed.sequence()};
}

std::optional<rollout_report> decode_rollout_report(std::string_view bytes)
{
    wire::RolloutReport parsed;
    const bool is_parsed =
        parsed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!is_parsed || parsed.format() != report_format || parsed.name().empty())
    {
        return std::nullopt;
    }
    rollout_report report;
    report.sender = host_id(parsed.name());
    report.sender_incarnation = incarnation(parsed.incarnation());
    report.service = service_name(parsed.service());
    report.order = log_offset(parsed.order());
    report.statistics.sent_old = parsed.sent_old();
    report.statistics.sent_target = parsed.sent_target();
    for (const auto& item : parsed.routes())
    {
        auto& by_route = item.is_target() ? report.statistics.target
                                          : report.statistics.old_version;
        auto& response_counts = by_route[item.route()];
        response_counts.responses = static_cast<double>(item.answers());
        response_counts.failures = static_cast<double>(item.failures());
        response_counts.first_latency = read_bins(item.first());
        response_counts.gaps = read_bins(item.gaps());
    }
    return report;
}

} // namespace daleshelf
