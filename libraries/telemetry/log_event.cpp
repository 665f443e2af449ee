#include "log_event.hpp"

#include <array>

namespace daleshelf
{

std::span<const log_event> event_catalogue()
{
    static constexpr std::array catalogue{
        events::process_started,
        events::process_stopping,
        events::process_stopped,
        events::drain_timed_out,
        events::unexpected_error,
        events::host_suspended,
        events::configuration_applied,
        events::log_unreachable,
        events::log_reachable,
        events::record_skipped,
        events::log_went_back,
        events::log_trimmed,
        events::servers_changed,
        events::records_from_peer,
        events::settings_reloaded,
        events::rollout_ordered,
        events::rollout_step,
        events::rollout_written,
        events::peer_version_unknown,
        events::peer_joined,
        events::peer_lost,
        events::request_refused,
        events::request_failed,
        events::request_moved,
        events::request_taken_over,
        events::request_handed_off,
        events::request_ended,
        events::request_unreadable,
        events::client_connections_closed,
        events::quota_view,
        events::stream_resumed,
        events::stream_origins_read,
        events::stream_version_unknown,
        events::share_exceeded,
        events::upstream_failed,
        events::upstream_leaving,
        events::order_given,
        events::order_refused,
        events::upstreams_short,
        events::host_ordered,
        events::lease_held,
        events::lease_lost,
        events::usage_settled,
        events::usage_reported,
        events::duty_call_failed,
        events::servers_ordered,
        events::lease_released,
        events::wait_given_up,
        events::upstream_rests,
        events::upstream_ended,
        events::poison_proved,
        events::poison_cleared,
        events::upstream_limit_changed,
        events::upstream_limit_unreadable,
        events::upstream_limit_reached,
        events::upstream_links_cut,
        events::upstream_links_restored,
        events::upstream_rejection_limit_changed,
        events::upstream_slots_exhausted,
        events::slots_short,
    };
    return catalogue;
}

log_severity severity_from_name(std::string_view name)
{
    for (const auto severity : {log_severity::debug, log_severity::info,
                                log_severity::warning, log_severity::error})
    {
        if (severity_name(severity) == name)
        {
            return severity;
        }
    }
    return log_severity::info;
}

std::string_view severity_name(log_severity severity)
{
    static constexpr std::array<std::string_view, 4> names{"debug", "info",
                                                           "warning", "error"};
    return names.at(static_cast<std::size_t>(severity));
}

} // namespace daleshelf
