/// @file
/// What one entry host knows of another.
#pragma once

#include <base/identifiers.hpp>
#include <cstdint>
#include <string>

namespace daleshelf
{

/// State of an entry host; a later one overrides an earlier one of the same
/// incarnation and refutation.
enum class member_state
{
    alive,
    suspect, ///< has not answered; may yet refute
    dead,    ///< has not answered for long
    left,    ///< has ended by itself; final for the incarnation
};

/// @return the state's name in the API
[[nodiscard]] std::string to_string(member_state state);

/// One entry host.
struct member
{
    host_id id;
    hall_id hall;
    std::string address;         ///< IP:PORT for peers
    incarnation started;         ///< a later start has a higher one
    std::int64_t refutation = 0; ///< raised by the host itself when suspected
    member_state state = member_state::alive;
    log_offset applied; ///< first offset that it has not applied
    bool is_draining = false;

    /// @return whether this says something newer than `other` of a host
    [[nodiscard]] bool overrides(const member& other) const;
};

} // namespace daleshelf
