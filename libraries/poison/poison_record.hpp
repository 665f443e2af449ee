/// @file
/// What is known of one request that may end servers.
#pragma once

#include "request_print.hpp"

#include <absl/time/time.h>

#include <compare>
#include <map>
#include <set>

namespace daleshelf
{

/// One life of a server, in order.
struct server_life
{
    upstream_id server;
    upstream_birth born;

    friend auto operator<=>(const server_life&, const server_life&) = default;
};

/// One life of a server has answered the request whole. What is asked for often
/// is answered to many hosts, though by few servers.
struct whole_answer
{
    server_life life;
    host_id to;

    friend auto operator<=>(const whole_answer&, const whole_answer&) = default;
};

/// A server ended while the request was there.
struct server_end
{
    absl::Time at;
    absl::Duration ran; ///< how long the request had been there
};

/// The right of one host to try the request again.
struct poison_trial
{
    std::int64_t number = 0; ///< 0: none yet
    host_id host;
    absl::Time claimed_at = absl::InfinitePast();
};

/// A request that may end servers, as one of its attempts shows it.
struct suspect_request
{
    request_print print;
    request_shape shape = 0;
    service_name service;
};

/// The evidence, which hosts merge in any order. Once the request has been
/// tried again and answered, what was known of it is void: a new epoch begins.
struct poison_record
{
    request_print print;
    request_shape shape = 0;
    service_name service;
    std::int64_t epoch = 0;
    std::map<server_life, server_end> ends;
    std::set<whole_answer> whole;
    bool is_proved = false;
    poison_trial trial;
    absl::Time changed_at = absl::InfinitePast(); ///< here; not told
    absl::Time noted_at = absl::InfinitePast(); ///< last end that was seen here

    /// @return when a server last ended under it
    [[nodiscard]] absl::Time last_end() const;
};

} // namespace daleshelf
