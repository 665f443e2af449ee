/// @file
/// Membership state of an entry host, as known to another.
#pragma once

#include <base/identifiers.hpp>
#include <cstdint>
#include <string>

namespace daleshelf
{

/// State of an entry host. Within one incarnation and refutation, a state
/// overrides those before it in this list.
enum class member_state
{
    alive,
    suspect, ///< did not respond to pings; can still refute
    dead,    ///< did not refute within the suspicion time
    left,    ///< has shut down; final for the incarnation
};

/// @return the state's name in the API
[[nodiscard]] std::string to_string(member_state state);

/// One entry host.
struct member
{
    host_id id;
    hall_id hall;
    std::string address;         ///< IP:PORT for peers
    incarnation started;         ///< higher after each restart
    std::int64_t refutation = 0; ///< raised by the host when it is suspected
    member_state state = member_state::alive;
    log_offset applied; ///< first log offset that it has not applied
    bool is_draining = false;

    /// @return whether this is a newer state of the same host than `other`
    [[nodiscard]] bool overrides(const member& other) const;
};

} // namespace daleshelf
