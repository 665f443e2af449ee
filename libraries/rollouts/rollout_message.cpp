#include "rollout_message.hpp"

#include "generated/rollout.pb.h"

#include <cmath>

namespace daleshelf
{

namespace
{

// Formats 1 to 3 are states, messages of quotas, and counts of windows.
constexpr std::uint32_t word_format = 4;
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
                  const statistics_by_route& tallies, bool is_target)
{
    for (const auto& [route, tally] : tallies)
    {
        auto& item = *message.add_routes();
        item.set_route(route);
        item.set_is_target(is_target);
        item.set_answers(static_cast<std::int64_t>(tally.answers));
        item.set_failures(static_cast<std::int64_t>(tally.failures));
        write_bins(*item.mutable_first(), tally.first);
        write_bins(*item.mutable_gaps(), tally.gaps);
    }
}

} // namespace

std::string encode(const rollout_directive& word)
{
    wire::RolloutWord message;
    message.set_format(word_format);
    message.set_name(word.from.value());
    message.set_service(word.service.value());
    message.set_order(word.order.value());
    message.set_phase(static_cast<std::uint32_t>(word.phase));
    message.set_share(word.share);
    message.set_token(word.token);
    message.set_sequence(word.sequence);
    return message.SerializeAsString();
}

std::string encode(const rollout_report& report)
{
    wire::RolloutReport message;
    message.set_format(report_format);
    message.set_name(report.from.value());
    message.set_incarnation(report.started.value());
    message.set_service(report.service.value());
    message.set_order(report.order.value());
    message.set_sent_old(report.seen.sent_old);
    message.set_sent_target(report.seen.sent_target);
    write_routes(message, report.seen.old_version, false);
    write_routes(message, report.seen.target, true);
    return message.SerializeAsString();
}

std::optional<rollout_directive>
decode_rollout_directive(std::string_view bytes)
{
    wire::RolloutWord read;
    const bool is_read =
        read.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!is_read || read.format() != word_format || read.name().empty() ||
        read.phase() > static_cast<std::uint32_t>(rollout_phase::rolled_back) ||
        !std::isfinite(read.share()) || read.share() < 0 || read.share() > 1)
    {
        return std::nullopt;
    }
    return rollout_directive{host_id(read.name()),
                             service_name(read.service()),
                             log_offset(read.order()),
                             static_cast<rollout_phase>(read.phase()),
                             read.share(),
                             read.token(),
                             read.sequence()};
}

std::optional<rollout_report> decode_rollout_report(std::string_view bytes)
{
    wire::RolloutReport read;
    const bool is_read =
        read.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!is_read || read.format() != report_format || read.name().empty())
    {
        return std::nullopt;
    }
    rollout_report report;
    report.from = host_id(read.name());
    report.started = incarnation(read.incarnation());
    report.service = service_name(read.service());
    report.order = log_offset(read.order());
    report.seen.sent_old = read.sent_old();
    report.seen.sent_target = read.sent_target();
    for (const auto& item : read.routes())
    {
        auto& tallies =
            item.is_target() ? report.seen.target : report.seen.old_version;
        auto& tally = tallies[item.route()];
        tally.answers = static_cast<double>(item.answers());
        tally.failures = static_cast<double>(item.failures());
        tally.first = read_bins(item.first());
        tally.gaps = read_bins(item.gaps());
    }
    return report;
}

} // namespace daleshelf
