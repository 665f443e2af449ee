/// @file
/// Attempts in flight of suspected requests.
#pragma once

#include "request_fingerprint.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace daleshelf
{

/// Counts this host's attempts of suspected requests in flight.
class suspects_in_flight
{
public:
    void begin(const request_fingerprint& fingerprint,
               const upstream_id& server);
    void end(const request_fingerprint& fingerprint, const upstream_id& server);

    [[nodiscard]] bool has(const request_fingerprint& fingerprint) const
    {
        return m_fingerprints.contains(fingerprint);
    }

    /// @return the upstreams that run some
    [[nodiscard]] absl::flat_hash_set<upstream_id> servers() const;

private:
    absl::flat_hash_map<request_fingerprint, int> m_fingerprints;
    absl::flat_hash_map<upstream_id, int> m_servers;
};

} // namespace daleshelf
