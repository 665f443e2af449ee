/// @file
/// What hosts tell each other of roll-outs.
#pragma once

#include "response_statistics.hpp"
#include "rollout_order.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// What the holder of the duties lets every host do, and asks for its report.
struct rollout_directive
{
    host_id from;
    service_name service;
    log_offset order; ///< offset of the operator's record
    rollout_phase phase = rollout_phase::running;
    double share = 0; ///< of requests, that go to the target
    std::int64_t token = -1;
    std::int64_t sequence = 0; ///< rises within one token
};

/// What one start of one host has sent and seen since it knew the order.
struct rollout_report
{
    host_id from;
    incarnation started;
    service_name service;
    log_offset order;
    rollout_statistics seen;
};

/// @return the bytes of a datagram
[[nodiscard]] std::string encode(const rollout_directive& word);
[[nodiscard]] std::string encode(const rollout_report& report);

/// @return the message, or nothing if the bytes are no such datagram
[[nodiscard]] std::optional<rollout_directive>
decode_rollout_directive(std::string_view bytes);
[[nodiscard]] std::optional<rollout_report>
decode_rollout_report(std::string_view bytes);

} // namespace daleshelf
