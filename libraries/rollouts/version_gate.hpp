/// @file
/// Which versions of a service may get requests.
#pragma once

#include "rollout_order.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <map>
#include <optional>
#include <vector>

namespace daleshelf
{

/// Keeps requests from versions that nobody has judged yet. While an order
/// stands, its target gets none by the common choice of a server; the same
/// holds for a version that is seen for the first time, until the orders are
/// known as they were after that: its servers may be listed before the order
/// that started them is heard. See docs/design/rollouts.md.
class version_gate
{
public:
    /// A server of the version is listed.
    /// @param is_first_list whether it was there when this host began to serve:
    /// nothing can be told then of what is new
    void record_server(const service_name& service, const version_name& version,
                       bool is_first_list, absl::Time now);

    /// The operator's orders are known as they stood at a time.
    void set_orders_known_at(absl::Time as_of);

    /// Takes an order; one that is older than what is known is left.
    /// @return whether it is news
    bool set_order(const rollout_order& order);

    /// An order has been taken back by its operator: what it started is
    /// treated as any version.
    /// @return whether there was one
    bool remove_order(const service_name& service);

    /// Sets how far a service's order has come. A final phase stays. Once the
    /// order is completed, the servers of all other versions have stopped,
    /// though they are still listed for a while.
    /// @param order the offset of the order that is meant
    /// @return whether that is news
    bool set_phase(const service_name& service, log_offset order,
                   rollout_phase phase, absl::Time now);

    /// @return whether servers of the version may get requests
    [[nodiscard]] bool allows(const service_name& service,
                              const version_name& version) const;

    /// @return the service's order, if one is known
    [[nodiscard]] const rollout_order*
    order_of(const service_name& service) const;

    /// @return the services that have an order
    [[nodiscard]] std::vector<service_name> services_with_orders() const;

    /// @return how far the service's order has come; nothing without an order
    [[nodiscard]] std::optional<rollout_phase>
    phase_of(const service_name& service) const;

private:
    struct known_order
    {
        rollout_order order;
        rollout_phase phase = rollout_phase::running;
    };

    /// When a version was first listed; those that are settled are not kept
    /// from requests without an order.
    struct seen_version
    {
        absl::Time first_at;
        bool is_settled = false;
        absl::Time replaced_at = absl::InfiniteFuture();
    };

    using versions = absl::flat_hash_map<version_name, seen_version>;

    std::map<service_name, known_order> m_orders;
    absl::flat_hash_map<service_name, versions> m_versions;
    absl::Time m_known_at = absl::InfinitePast();
};

} // namespace daleshelf
