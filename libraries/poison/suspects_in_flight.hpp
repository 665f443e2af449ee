/// @file
/// Where requests that may end servers run just now.
#pragma once

#include "request_print.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace daleshelf
{

/// Counts what this host has sent of them.
class suspects_in_flight
{
public:
    void begin(const request_print& print, const upstream_id& server);
    void end(const request_print& print, const upstream_id& server);

    [[nodiscard]] bool has(const request_print& print) const
    {
        return m_prints.contains(print);
    }

    /// @return the servers where some run
    [[nodiscard]] absl::flat_hash_set<upstream_id> servers() const;

private:
    absl::flat_hash_map<request_print, int> m_prints;
    absl::flat_hash_map<upstream_id, int> m_servers;
};

} // namespace daleshelf
