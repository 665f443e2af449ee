#include "log_event.hpp"

#include <array>

namespace daleshelf
{

std::span<const log_event> event_catalogue()
{
    static constexpr std::array catalogue{
        events::process_started,       events::process_stopping,
        events::process_stopped,       events::drain_timed_out,
        events::configuration_applied, events::log_unreachable,
        events::log_reachable,         events::record_skipped,
        events::log_went_back,         events::log_trimmed,
        events::peer_version_unknown,  events::request_refused,
        events::request_failed,        events::request_moved,
        events::request_taken_over,    events::request_handed_off,
        events::upstream_failed,       events::upstream_leaving,
        events::order_given,           events::order_refused,
        events::upstreams_short,       events::host_ordered,
    };
    return catalogue;
}

std::string_view severity_name(log_severity severity)
{
    static constexpr std::array<std::string_view, 4> names{"debug", "info",
                                                           "warning", "error"};
    return names.at(static_cast<std::size_t>(severity));
}

} // namespace daleshelf
