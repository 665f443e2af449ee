/// @file
/// Divides the slots of a service between workspaces when they are short.
#pragma once

#include "workspace_demand.hpp"

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <map>
#include <vector>

namespace daleshelf
{

/// Whether a request is within its workspace's share.
struct share_verdict
{
    bool is_admitted = true;
    /// Fraction of such requests that is admitted now.
    double admitted_fraction = 1;
    double demand = 0;   ///< slots that the workspace asks for
    double share = 0;    ///< slots that it may have
    double capacity = 0; ///< slots of the service
    absl::Duration age;  ///< of the demand that the verdict is based on
};

/// Admits requests by max-min fair shares between workspaces while the demand
/// of all exceeds the capacity of a service. Does no I/O. See
/// docs/hard-load.md, part 4.
class share_controller
{
public:
    /// Replaces what is known of a service, and drops services that were not
    /// updated for a second.
    /// @param capacity slots of its usable upstreams, weighted by speed; if it
    /// is not finite, everything is admitted
    /// @param demand demand of the whole fleet; entries with a rank out of
    /// range or slots that are not finite and positive are ignored
    /// @param measured_at when the demand was received
    void update(const service_name& service, double capacity,
                const std::vector<workspace_demand>& demand,
                absl::Time measured_at);

    /// @param request its service, workspace and rank; `slots` is not read
    /// @param random from 0 to below 1
    /// @return the verdict; everything is admitted if the demand is not known
    /// or older than a second. A workspace without known demand is admitted. A
    /// rank without known demand is admitted like the next more urgent one of
    /// its workspace.
    [[nodiscard]] share_verdict admit(const workspace_demand& request,
                                      double random, absl::Time now) const;

    /// @return slots by which the demand exceeds the capacity; 0: none
    [[nodiscard]] double shortage(const service_name& service,
                                  absl::Time now) const;

private:
    static constexpr std::size_t ranks = 10;
    using slots_by_rank = std::array<double, ranks>;

    /// Demand of one workspace, and what it gets.
    struct workspace_share
    {
        slots_by_rank demand{};
        slots_by_rank admitted{};
        double total = 0; ///< demand of all ranks
        double share = 0;

        [[nodiscard]] double admitted_fraction(std::size_t rank) const;
    };

    using shares_by_workspace = std::map<workspace_id, workspace_share>;

    struct service_shares
    {
        double capacity = 0;
        double demand = 0;
        absl::Time measured_at = absl::InfinitePast();
        shares_by_workspace workspaces;
    };

    static void add_demand(service_shares& service,
                           const workspace_demand& entry);
    static void divide_capacity(service_shares& service);
    static void admit_by_rank(workspace_share& workspace);
    static void keep_order_of_ranks(service_shares& service);
    static slots_by_rank demand_by_rank(const shares_by_workspace& workspaces);
    static slots_by_rank
    fractions_by_rank(const shares_by_workspace& workspaces,
                      const slots_by_rank& demand);
    static slots_by_rank fractions_by_urgency(double capacity,
                                              const slots_by_rank& demand);
    static double blend_that_keeps_order(const slots_by_rank& demand,
                                         const slots_by_rank& from,
                                         const slots_by_rank& to);
    static void blend_with_equal_ranks(service_shares& service);
    static void blend_with_urgency(service_shares& service);
    static void pool_ranks(workspace_share& workspace);
    void drop_old_services(absl::Time now);
    [[nodiscard]] const service_shares* find_recent(const service_name& service,
                                                    absl::Time now) const;

    std::map<service_name, service_shares> m_services;
};

} // namespace daleshelf
