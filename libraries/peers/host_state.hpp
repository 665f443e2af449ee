/// @file
/// State that a gateway reports to its peers.
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

/// Work that a host has in flight at one upstream.
struct reported_load
{
    upstream_id server;
    std::int64_t active = 0;        ///< requests in flight
    std::int64_t unread_tokens = 0; ///< prompt tokens not yet prefilled
};

/// Where a host's peers reach it.
struct host_address
{
    host_id name;
    std::string address; ///< IP:PORT
    hall_id hall{};      ///< empty: not known
};

/// Work that a host has sent to a service, and its estimate of the engines.
struct service_report
{
    service_name service;
    service_work work; ///< since the start of the host's incarnation
    engine_estimate learned;
};

/// An observation of the speed of an upstream.
struct reported_speed
{
    upstream_id server;
    upstream_birth started_at; ///< of the upstream's incarnation
    double slowdown = 1;       ///< observed duration by expected duration
    std::int64_t age_ms = 0;   ///< when the state was sent
};

/// The state of one host, as it reports it.
struct host_state
{
    host_address self;
    incarnation started;
    std::int64_t sequence = 0; ///< increases with each state of an incarnation
    hall_id hall;
    std::int64_t wall_time_ms = 0; ///< its clock, in ms since 1970
    std::int64_t configuration_version = 0;
    log_offset servers_offset; ///< first upstream record not yet applied
    bool is_stopping = false;
    bool reaches_store = false;
    /// Its own links reach no upstream, while its peers' links do.
    bool is_partitioned = false;
    std::vector<service_report> services;
    std::vector<reported_load> loads;
    std::vector<reported_speed> speeds; ///< this host's newest observations
    counts_by_window counts;            ///< of this incarnation
    /// Of incarnations that no longer report their counts themselves.
    std::map<host_incarnation, counts_by_window> relayed_counts;
    std::vector<host_address> known_hosts; ///< a subset, for peer discovery
    std::int64_t fleet_size = 0; ///< hosts that it counts, with itself
    host_id duty_holder;
    std::int64_t duty_token = -1; ///< fencing token; -1: none
    /// Fencing token of the lease that it last released; -1: none.
    std::int64_t released_token = -1;
    /// Time since the store last answered the host; -1: it never has.
    std::int64_t store_answer_age_ms = -1;
};

/// @return the bytes of a datagram
[[nodiscard]] std::string encode(const host_state& state);

/// @return the state, or nothing if the bytes are not a valid datagram
[[nodiscard]] std::optional<host_state>
decode_host_state(std::string_view bytes);

} // namespace daleshelf
