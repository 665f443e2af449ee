/// @file
/// Decides which versions of a service may receive requests.
#pragma once

#include "rollout_order.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <map>
#include <optional>
#include <vector>

namespace daleshelf
{

/// Excludes versions that have not passed a canary analysis from the regular
/// choice of an upstream. This applies to the target of an order that is not
/// completed, and to a newly listed version until the orders are known as of a
/// later time: its upstreams may be listed before this host reads the order
/// that started them. See docs/design/rollouts.md.
class version_gate
{
public:
    /// Records that an upstream of the version is listed.
    /// @param is_first_list whether it is in the first list that this host
    /// reads, which does not show which versions are new
    void record_server(const service_name& service, const version_name& version,
                       bool is_first_list, absl::Time now);

    /// Sets the time as of which the operator's orders are known; an earlier
    /// time than the last is ignored.
    void set_orders_known_at(absl::Time as_of);

    /// Stores an order; one that is not newer than the known one is ignored.
    /// @return whether it was stored
    bool set_order(const rollout_order& order);

    /// Removes an order that its operator has withdrawn; its target is treated
    /// like any other version from then on.
    /// @return whether there was one
    bool remove_order(const service_name& service);

    /// Sets the phase of a service's order; a final phase does not change. Once
    /// the order is completed, the upstreams of all other versions have
    /// stopped, although they remain listed for a while.
    /// @param order the offset of the order; others are ignored
    /// @return whether the phase has changed
    bool set_phase(const service_name& service, log_offset order,
                   rollout_phase phase, absl::Time now);

    /// @return whether upstreams of the version may receive requests
    [[nodiscard]] bool allows(const service_name& service,
                              const version_name& version) const;

    /// @return whether upstreams of the version may continue streams that it
    /// has begun: also those of the target of an order, while it is running
    [[nodiscard]] bool allows_resumption(const service_name& service,
                                         const version_name& version) const;

    /// @return the service's order, if one is known
    [[nodiscard]] const rollout_order*
    order_of(const service_name& service) const;

    /// @return the services that have an order
    [[nodiscard]] std::vector<service_name> services_with_orders() const;

    /// @return the phase of the service's order; nothing without an order
    [[nodiscard]] std::optional<rollout_phase>
    phase_of(const service_name& service) const;

private:
    struct order_state
    {
        rollout_order order;
        rollout_phase phase = rollout_phase::running;
    };

    /// When a version was first listed and replaced. An admitted version
    /// receives requests unless an order or a replacement excludes it.
    struct version_state
    {
        absl::Time first_listed_at;
        bool is_admitted = false;
        absl::Time replaced_at = absl::InfiniteFuture();
    };

    using versions = absl::flat_hash_map<version_name, version_state>;

    std::map<service_name, order_state> m_orders;
    absl::flat_hash_map<service_name, versions> m_versions;
    absl::Time m_orders_known_at = absl::InfinitePast();
};

} // namespace daleshelf
