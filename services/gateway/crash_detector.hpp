/// @file
/// How this host notices that servers have ended.
#pragma once

#include "asio.hpp"

#include <ingress/server_directory.hpp>
#include <map>
#include <poison/open_attempts.hpp>
#include <string_view>

namespace daleshelf
{

struct gateway_state;

/// What showed that a server may have ended.
enum class crash_sign
{
    broken,    ///< an attempt broke
    abandoned, ///< a suspected request was let go before it was answered
    refused,   ///< nobody listens at its port
    closed,    ///< a kept connection ended
    listed,    ///< it is no longer listed, or as another life
    reported,  ///< another host has seen it
};

/// Notes every request that was at a server when it ended, also those that
/// nobody waits for any more. See docs/design/poison.md, "What is an end".
class crash_detector
{
public:
    explicit crash_detector(gateway_state& state);

    /// Notes that an attempt has ended without the server's answer.
    void record_unfinished_attempt(const server_entry& server,
                                   const suspect_request& request,
                                   absl::Time started);

    /// Asks the server's port whether anybody listens, if some request was
    /// there lately. A cut, or one connection that was closed, is no end;
    /// neither is one of a server that was to leave.
    awaitable<void> probe(server_entry server, crash_sign sign);

    /// Asks in the background.
    void start_probe(const server_entry& server, crash_sign sign);

    /// Asks once the request that was let go can have ended the server; until
    /// then it counts as under way.
    void start_delayed_probe(const server_entry& server,
                             const suspect_request& request);

    /// Notes that the life is over, as is known for sure.
    void record_crash(const server_life& instance, crash_sign sign);

private:
    [[nodiscard]] bool is_expected_to_run(const server_entry& server) const;
    awaitable<void> probe_port(server_entry server, crash_sign sign);
    awaitable<void> probe_after_delay(server_entry server,
                                      suspect_request request);
    void record_crash_of(const server_life& instance,
                         const open_attempt& attempt, crash_sign sign);

    gateway_state& m_state;
    open_attempts m_unfinished_attempts;
    /// Lives whose ports are being asked, and whether to ask once more then.
    std::map<server_life, bool> m_running_probes;
};

/// @return its name in the log
[[nodiscard]] std::string_view name_of(crash_sign sign);

} // namespace daleshelf
