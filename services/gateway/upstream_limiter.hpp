/// @file
/// The limits that upstreams name in their answers.
#pragma once

#include "asio.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <ingress/server_directory.hpp>
#include <platform/forward.hpp>
#include <upstream_limits/limit_table.hpp>

namespace daleshelf
{

struct gateway_state;

/// Keeps the fleet within the limits that upstreams have named. See
/// docs/design/upstream-limits.md.
class upstream_limiter
{
public:
    explicit upstream_limiter(gateway_state& state) : m_state(state) {}

    /// Notes what an answer says of its upstream's limit.
    /// @param sent_at when the request was sent, monotonic
    void record_answer(const server_entry& server,
                       const platform::server_notice& notice,
                       absl::Time sent_at);

private:
    void log_faulty(const server_entry& server);

    gateway_state& m_state;
    limit_table m_limits;
    /// Upstreams whose limit could not be read, and which start of them.
    absl::flat_hash_map<upstream_id, upstream_birth> m_faulty;
};

/// Logs that an upstream has named another limit.
void log_limit_change(const limit_update& update);

} // namespace daleshelf
