/// @file
/// What one gateway tells the others of itself.
#pragma once

#include "count_table.hpp"

#include <base/identifiers.hpp>
#include <cstdint>
#include <engines/engine_estimate.hpp>
#include <engines/service_work.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daleshelf
{

/// Work in flight at one server.
struct reported_load
{
    upstream_id server;
    std::int64_t active = 0;
    std::int64_t unread_tokens = 0;
};

/// Where a machine's peers reach it.
struct machine_address
{
    host_id name;
    std::string address; ///< IP:PORT
    hall_id hall{};      ///< empty: not known
};

/// What one machine has sent to a service, and learned of its engines.
struct told_service
{
    service_name service;
    service_work work; ///< since the machine's start
    engine_estimate learned;
};

/// The state of one machine, as it tells it.
struct machine_state
{
    machine_address self;
    incarnation started;
    std::int64_t sequence = 0;
    hall_id hall;
    std::int64_t wall_time_ms = 0;
    std::int64_t configuration_version = 0;
    log_offset servers_offset;
    bool is_stopping = false;
    bool reaches_store = false;
    std::vector<told_service> services;
    std::vector<reported_load> loads;
    counts_by_window counts; ///< of this start
    /// Of starts that cannot tell by themselves any more.
    std::map<counting_start, counts_by_window> ended_counts;
    std::vector<machine_address> machines; ///< some that it knows
    std::int64_t fleet_size = 0; ///< machines that it counts, with itself
    host_id duty_holder;
    std::int64_t duty_token = -1;
    std::int64_t released_token = -1; ///< of the lease that it gave up last
    /// Since the store last answered it; -1: it has not yet.
    std::int64_t store_answer_age_ms = -1;
};

/// @return the bytes of a datagram
[[nodiscard]] std::string encode(const machine_state& state);

/// @return the state, or nothing if the bytes are no such datagram
[[nodiscard]] std::optional<machine_state>
decode_machine_state(std::string_view bytes);

} // namespace daleshelf
