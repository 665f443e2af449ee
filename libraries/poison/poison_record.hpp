/// @file
/// Evidence on one request that may crash upstreams.
#pragma once

#include "request_fingerprint.hpp"

#include <absl/time/time.h>

#include <compare>
#include <map>
#include <set>

namespace daleshelf
{

/// One run of an upstream's process; ordered by upstream, then by start.
struct server_incarnation
{
    upstream_id server;
    upstream_birth started_ms;

    friend auto operator<=>(const server_incarnation&,
                            const server_incarnation&) = default;
};

/// An incarnation of an upstream has completed the request for a host. Hosts
/// count separately, as few upstreams answer a frequent request to many hosts.
struct completed_response
{
    server_incarnation incarnation;
    host_id recipient;

    friend auto operator<=>(const completed_response&,
                            const completed_response&) = default;
};

/// A crash of an upstream that ran the request.
struct server_crash
{
    absl::Time at;
    absl::Duration request_age; ///< time since it was sent there
};

/// One host's claim to send a confirmed request again, as a probe.
struct probe_claim
{
    std::int64_t number = 0; ///< 0: no claim yet
    host_id host;
    absl::Time claimed_at = absl::InfinitePast();
};

/// What a record is about.
enum class suspect_kind
{
    request,     ///< requests of one content
    prompt_part, ///< requests with one part in their prompts
};

/// A request that may crash upstreams, described from one of its attempts, or a
/// part of its prompt.
struct suspect_request
{
    request_fingerprint fingerprint;
    request_shape shape = 0;
    service_name service;
    suspect_kind kind = suspect_kind::request;
};

/// The evidence on one request. Hosts merge their records in any order. When an
/// attempt of a confirmed request completes, the evidence is void and a new
/// epoch begins.
struct poison_record
{
    request_fingerprint fingerprint;
    request_shape shape = 0;
    service_name service;
    suspect_kind kind = suspect_kind::request;
    std::int64_t epoch = 0;
    std::map<server_incarnation, server_crash> crashes;
    std::set<completed_response> responses;
    bool is_confirmed = false;
    probe_claim probe;
    absl::Time changed_at = absl::InfinitePast(); ///< local, not sent
    /// Time of the last crash that this host observed; not sent.
    absl::Time observed_at = absl::InfinitePast();

    /// @return time of the last crash, or the infinite past
    [[nodiscard]] absl::Time last_crash() const;
};

} // namespace daleshelf
