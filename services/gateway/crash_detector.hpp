/// @file
/// Detection of upstream crashes.
#pragma once

#include "asio.hpp"

#include <ingress/server_directory.hpp>
#include <map>
#include <poison/unanswered_attempts.hpp>
#include <string_view>

namespace daleshelf
{

struct gateway_state;

/// What indicates that an upstream may have crashed.
enum class crash_sign
{
    broken,    ///< an attempt's connection broke
    abandoned, ///< a suspected request was aborted before its response
    refused,   ///< its port refuses connections
    closed,    ///< an idle pooled connection was closed
    listed,    ///< it was delisted, or listed with a new incarnation
    reported,  ///< another host has reported it
};

/// Detects crashes of upstreams, and records them as evidence against every
/// request that ran there, also those whose client no longer waits. See
/// docs/design/poison.md, "What is a crash".
class crash_detector
{
public:
    explicit crash_detector(gateway_state& state);

    /// Records an attempt that ended without the upstream's response.
    /// @param started when it was sent, monotonic
    void record_unfinished_attempt(const server_entry& server,
                                   const suspect_request& request,
                                   absl::Time started);

    /// Probes the upstream's port, and records a crash if it refuses
    /// connections. A network cut or a single closed connection is no crash,
    /// and neither is the exit of an upstream that is draining or being
    /// replaced.
    awaitable<void> probe(server_entry server, crash_sign sign);

    /// Starts a probe in the background, if an unfinished attempt is recorded
    /// for the upstream. A refused connection needs no probe: it records the
    /// crash.
    void start_probe(const server_entry& server, crash_sign sign);

    /// Starts a probe after the time in which an aborted request can still
    /// crash the upstream. Until the probe ends the request counts as in
    /// flight.
    void start_delayed_probe(const server_entry& server,
                             const suspect_request& request);

    /// Records that this incarnation of an upstream has certainly crashed.
    void handle_crash(const server_incarnation& instance, crash_sign sign);

private:
    [[nodiscard]] bool is_expected_to_run(const server_entry& server) const;
    awaitable<void> probe_port(server_entry server, crash_sign sign);
    awaitable<void> verify_crash(server_entry server, crash_sign sign);
    awaitable<void> probe_after_delay(server_entry server,
                                      suspect_request request);
    void record_crash_of(const server_incarnation& instance,
                         const unanswered_attempt& attempt, crash_sign sign);

    gateway_state& m_state;
    unanswered_attempts m_unfinished_attempts;
    /// Incarnations being probed, and whether to probe them once more.
    std::map<server_incarnation, bool> m_running_probes;
};

/// @return the name of the sign in the log
[[nodiscard]] std::string_view name_of(crash_sign sign);

/// @return the name of the kind in the log
[[nodiscard]] std::string_view name_of(suspect_kind kind);

} // namespace daleshelf
