/// @file
/// The messages that hosts exchange during a rollout.
#pragma once

#include "response_statistics.hpp"
#include "rollout_order.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// Sent by the duty holder to every host: the state of an order and the share
/// of requests that may go to the target. Hosts reply with a report.
struct rollout_directive
{
    host_id sender;
    service_name service;
    log_offset order; ///< offset of the order's log record
    rollout_phase phase = rollout_phase::running;
    double share = 0;          ///< of requests that go to the target, 0 to 1
    std::int64_t token = -1;   ///< fencing token of the sender
    std::int64_t sequence = 0; ///< increases within one token
};

/// The statistics of one incarnation of a host since it learned of the order.
struct rollout_report
{
    host_id sender;
    incarnation sender_incarnation;
    service_name service;
    log_offset order;
    rollout_statistics statistics;
};

/// @return the encoded datagram
[[nodiscard]] std::string encode(const rollout_directive& directive);
[[nodiscard]] std::string encode(const rollout_report& report);

/// @return the message; nothing if the bytes are not a valid datagram of its
/// format
[[nodiscard]] std::optional<rollout_directive>
decode_rollout_directive(std::string_view bytes);
[[nodiscard]] std::optional<rollout_report>
decode_rollout_report(std::string_view bytes);

} // namespace daleshelf
