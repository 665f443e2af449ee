/// @file
/// What the limits of a host leave for its clients.
#pragma once

#include <cstddef>

namespace daleshelf
{

struct gateway_settings;

/// The part of the host's memory and descriptors that clients may use.
struct client_capacity
{
    /// Size of a connection's receive buffer.
    static constexpr int receive_buffer_bytes = 32768;

    std::size_t request_bytes = 0; ///< memory of all requests
    std::size_t connections = 0;
};

/// Derives the capacity from the settings and the process's own limit of
/// descriptors.
[[nodiscard]] client_capacity
client_capacity_of(const gateway_settings& settings);

} // namespace daleshelf
