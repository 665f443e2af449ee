/// @file
/// How this host notices that servers have ended.
#pragma once

#include "asio.hpp"

#include <ingress/server_directory.hpp>
#include <map>
#include <poison/unanswered_attempts.hpp>
#include <string_view>

namespace daleshelf
{

struct gateway_state;

/// What showed that a server may have ended.
enum class end_sign
{
    broken,  ///< an attempt broke
    left,    ///< a suspected request was let go before it was answered
    refused, ///< nobody listens at its port
    closed,  ///< a kept connection ended
    listed,  ///< it is no longer listed, or as another life
    told,    ///< another host has seen it
};

/// Notes every request that was at a server when it ended, also those that
/// nobody waits for any more. See docs/design/poison.md, "What is an end".
class server_ends
{
public:
    explicit server_ends(gateway_state& state);

    /// Notes that an attempt has ended without the server's answer.
    void note_open(const server_entry& server, const suspect_request& request,
                   absl::Time began);

    /// Asks the server's port whether anybody listens, if some request was
    /// there lately. A cut, or one connection that was closed, is no end;
    /// neither is one of a server that was to leave.
    awaitable<void> ask(server_entry server, end_sign sign);

    /// Asks in the background.
    void ask_soon(const server_entry& server, end_sign sign);

    /// Asks once the request that was let go can have ended the server; until
    /// then it counts as under way.
    void ask_later(const server_entry& server, const suspect_request& request);

    /// Notes that the life is over, as is known for sure.
    void note_over(const server_incarnation& life, end_sign sign);

private:
    [[nodiscard]] bool was_to_stay(const server_entry& server) const;
    awaitable<void> ask_port(server_entry server, end_sign sign);
    awaitable<void> wait_and_ask(server_entry server, suspect_request request);
    void note_end(const server_incarnation& life,
                  const unanswered_attempt& attempt, end_sign sign);

    gateway_state& m_state;
    unanswered_attempts m_open;
    /// Lives whose ports are being asked, and whether to ask once more then.
    std::map<server_incarnation, bool> m_asked;
};

/// @return its name in the log
[[nodiscard]] std::string_view name_of(end_sign sign);

} // namespace daleshelf
