/// @file
/// Catalogue of the numbered events that programs log.
#pragma once

#include <span>
#include <string_view>

namespace daleshelf
{

/// Severity of an event, in ascending order.
enum class log_severity
{
    debug,
    info,
    warning,
    error,
};

/// One kind of event. A number keeps its meaning in all versions.
struct log_event
{
    int number;
    log_severity severity;
    std::string_view name;
    std::string_view meaning; ///< for docs/EVENTS.md
};

/// @return all events that programs log
[[nodiscard]] std::span<const log_event> event_catalogue();

/// @param severity a severity
/// @return the name of the severity in settings and log lines
[[nodiscard]] std::string_view severity_name(log_severity severity);

/// @param name a name returned by `severity_name`
/// @return the severity; `info` for an unknown name
[[nodiscard]] log_severity severity_from_name(std::string_view name);

/// The events by name. Numbers are grouped by package: 1xx process, 2xx
/// configuration and platform, 3xx membership, 4xx requests, 5xx upstreams, 6xx
/// placement.
namespace events
{

inline constexpr log_event process_started{
    101, log_severity::info, "process_started",
    "The process serves; the fields name its addresses."};
inline constexpr log_event process_stopping{
    102, log_severity::info, "process_stopping",
    "The process has been told to stop and lets requests end."};
inline constexpr log_event process_stopped{
    103, log_severity::info, "process_stopped",
    "The process ends; nothing is in flight."};
inline constexpr log_event drain_timed_out{
    104, log_severity::warning, "drain_timed_out",
    "Requests were still in flight when the drain time ran out."};
inline constexpr log_event unexpected_error{
    105, log_severity::error, "unexpected_error",
    "An error that nothing was ready for has ended one task; this is a fault "
    "of the program."};
inline constexpr log_event host_suspended{
    106, log_severity::warning, "host_suspended",
    "The machine was suspended; the field gives for how long. Whatever this "
    "host knew is older by that."};
inline constexpr log_event configuration_applied{
    201, log_severity::info, "configuration_applied",
    "A change has been settled; the fields give its offset and outcome."};
inline constexpr log_event log_unreachable{
    202, log_severity::warning, "log_unreachable",
    "The platform's log does not answer; what is known stays in force."};
inline constexpr log_event log_reachable{203, log_severity::info,
                                         "log_reachable",
                                         "The platform's log answers again."};
inline constexpr log_event record_skipped{
    204, log_severity::error, "record_skipped",
    "Records of the log cannot be read, and are skipped; the fields give how "
    "many, the first of them, the newest offset and what is wrong with it."};
inline constexpr log_event log_went_back{
    205, log_severity::error, "log_went_back",
    "The log answers from an older state; this host keeps what it has."};
inline constexpr log_event log_trimmed{
    206, log_severity::warning, "log_trimmed",
    "Records were trimmed before this host read them."};
inline constexpr log_event servers_changed{
    207, log_severity::info, "servers_changed",
    "The list of servers has changed; the fields give how many, the first of "
    "them, its offset, who told of it, and this host's role."};
inline constexpr log_event records_from_peer{
    208, log_severity::info, "records_from_peer",
    "A peer has given records that this host lacked: at its start, or after a "
    "gap."};
inline constexpr log_event settings_reloaded{
    209, log_severity::info, "settings_reloaded",
    "The settings file has been read again; the outcome says whether it is "
    "in force."};
inline constexpr log_event wait_given_up{
    213, log_severity::warning, "wait_given_up",
    "A call that waited for changes of a topic got no answer within its time; "
    "the fields give how long it waited, and this host's role."};
inline constexpr log_event rollout_ordered{
    210, log_severity::info, "rollout_ordered",
    "The operator has ordered a service's move to another version; servers of "
    "it get nothing by the common choice until that is judged."};
inline constexpr log_event rollout_step{
    211, log_severity::info, "rollout_step",
    "The holder of the duties lets hosts send another share of requests to the "
    "target of a roll-out, or ends it; the fields give what was seen, and "
    "why."};
inline constexpr log_event rollout_written{
    212, log_severity::info, "rollout_written",
    "How a roll-out stands was to be written to the log; the outcome says "
    "whether it was."};
inline constexpr log_event peer_version_unknown{
    301, log_severity::error, "peer_version_unknown",
    "A peer speaks another version of the protocol; it is not heard."};
inline constexpr log_event peer_joined{
    302, log_severity::info, "peer_joined",
    "Peers are heard for the first time, or again after a start; the fields "
    "give how many, and the first of them."};
inline constexpr log_event peer_lost{303, log_severity::warning, "peer_lost",
                                     "A peer has been silent for long and is "
                                     "forgotten."};
inline constexpr log_event request_refused{
    401, log_severity::info, "request_refused",
    "A request was refused before it ran."};
inline constexpr log_event request_failed{
    402, log_severity::warning, "request_failed",
    "A request ended with an error after it may have run."};
inline constexpr log_event request_moved{
    403, log_severity::info, "request_moved",
    "A request goes on at another upstream."};
inline constexpr log_event request_taken_over{
    404, log_severity::warning, "request_taken_over",
    "The owner of a request is gone; its replica runs it."};
inline constexpr log_event request_handed_off{
    405, log_severity::info, "request_handed_off",
    "Another entry host runs a request, since this one is to go."};
inline constexpr log_event request_ended{
    406, log_severity::info, "request_ended",
    "A request has ended; the fields give its outcome and attempts."};
inline constexpr log_event request_unreadable{
    407, log_severity::warning, "request_unreadable",
    "Bytes that are no request, or one beyond the limits, were rejected."};
inline constexpr log_event client_connections_closed{
    414, log_severity::warning, "client_connections_closed",
    "Client connections were closed because there were too many; the fields "
    "give how many, and how many new ones were rejected."};
inline constexpr log_event quota_view{
    409, log_severity::info, "quota_view",
    "A keeper has refused parts of a quota; the fields give what it holds and "
    "the part of the fleet that gives to it."};
inline constexpr log_event stream_resumed{
    410, log_severity::info, "stream_resumed",
    "A stream that has begun is sent to another upstream; the fields give the "
    "client's attempt that began it, the last event, the software version, "
    "how that is known, how much of the list of upstreams is known, and how "
    "many hosts replied."};
inline constexpr log_event stream_version_unknown{
    413, log_severity::info, "stream_version_unknown",
    "A resumed stream was rejected, since the software version that began it "
    "is not certain; the fields give how much of the list of upstreams is "
    "known, and how many hosts replied."};
inline constexpr log_event stream_origins_read{
    412, log_severity::info, "stream_origins_read",
    "The origins of streams were read from the log, since a stream was resumed "
    "whose origin no host knew; the fields give the outcome and the time."};
inline constexpr log_event share_exceeded{
    411, log_severity::info, "share_exceeded",
    "A request was rejected because slots are short and its workspace asks for "
    "more than its share; the fields give the demand, the share, the capacity, "
    "and the age of the demand."};
inline constexpr log_event slots_short{
    512, log_severity::warning, "slots_short",
    "The workspaces ask for more slots of a service than its engines have; the "
    "fields give the capacity, by how much it is exceeded, and the age of the "
    "demand."};
inline constexpr log_event upstream_failed{
    501, log_severity::warning, "upstream_failed",
    "An attempt at an upstream failed; the fields say why a connect failed, or "
    "why a response was not accepted as the upstream's answer, if so."};
inline constexpr log_event upstream_leaving{
    502, log_severity::info, "upstream_leaving",
    "An upstream is leaving and gets no new work."};

inline constexpr log_event upstream_rests{
    503, log_severity::info, "upstream_rests",
    "An upstream has turned a request away and wants nothing from this host "
    "for a time."};

inline constexpr log_event upstream_ended{
    504, log_severity::warning, "upstream_ended",
    "An upstream has ended while a request was there; the fields give how many "
    "have ended under that request and how strong the evidence is."};
inline constexpr log_event poison_proved{
    505, log_severity::warning, "poison_proved",
    "A request ends the upstreams that run it, and is refused from now on; the "
    "fields give the evidence and who knows it."};
inline constexpr log_event poison_cleared{
    506, log_severity::info, "poison_cleared",
    "A request that was refused for ending upstreams has been tried again and "
    "was answered."};

inline constexpr log_event upstream_limit_changed{
    507, log_severity::info, "upstream_limit_changed",
    "An upstream names another limit of requests a second from the whole "
    "fleet, or none any more; the fields give both, and who has told it."};
inline constexpr log_event upstream_limit_unreadable{
    508, log_severity::warning, "upstream_limit_unreadable",
    "An upstream names a limit that is no decimal number; it is ignored. One "
    "line for each start of the upstream."};

inline constexpr log_event upstream_links_cut{
    510, log_severity::warning, "upstream_links_cut",
    "Peers reach a service that this host cannot connect to; its connections "
    "go through peers. The fields name the first peer, and whether all "
    "services are cut off."};
inline constexpr log_event upstream_links_restored{
    511, log_severity::info, "upstream_links_restored",
    "Upstreams of a service can be connected directly again."};
inline constexpr log_event upstream_limit_reached{
    509, log_severity::info, "upstream_limit_reached",
    "Requests were sent elsewhere, or rejected, since upstreams had no room "
    "within their limits; the fields give how many times, and the first of "
    "them."};

inline constexpr log_event upstream_rejection_limit_changed{
    512, log_severity::info, "upstream_rejection_limit_changed",
    "An upstream advertises that it crashes when it rejects more requests a "
    "second than a limit, another limit, or none any more; the fields give "
    "both, and whether a response or a peer has reported it."};
inline constexpr log_event upstream_slots_exhausted{
    513, log_severity::info, "upstream_slots_exhausted",
    "Requests were sent elsewhere, or rejected, since all slots of upstreams "
    "that must not reject requests were in use; the fields give how many "
    "times, and the first upstreams."};

inline constexpr log_event order_given{
    601, log_severity::info, "order_given",
    "The planner of the hall has given an order to an engine."};
inline constexpr log_event order_refused{
    602, log_severity::warning, "order_refused",
    "An engine has refused an order for an old fencing token."};
inline constexpr log_event upstreams_short{
    603, log_severity::warning, "upstreams_short",
    "Too few upstreams of the hall can hold a deployment."};

inline constexpr log_event host_ordered{
    604, log_severity::info, "host_ordered",
    "The planner of the hall has ordered a host."};

inline constexpr log_event lease_held{
    701, log_severity::info, "lease_held",
    "This host holds the duties; the field gives its fencing token."};
inline constexpr log_event lease_lost{702, log_severity::warning, "lease_lost",
                                      "This host no longer holds the duties."};
inline constexpr log_event lease_released{
    707, log_severity::info, "lease_released",
    "This host has given the duties up before its lease lapsed, so that "
    "another need not wait it out; the field gives the reason."};
inline constexpr log_event usage_settled{
    703, log_severity::info, "usage_settled",
    "The counts of a usage window are settled in the log."};
inline constexpr log_event usage_reported{
    704, log_severity::info, "usage_reported",
    "The platform has taken the counts of a usage window."};
inline constexpr log_event duty_call_failed{
    705, log_severity::warning, "duty_call_failed",
    "The platform has not taken a call; it is made again."};
inline constexpr log_event servers_ordered{
    706, log_severity::info, "servers_ordered",
    "A number of servers has been ordered for a hall."};

} // namespace events

} // namespace daleshelf
