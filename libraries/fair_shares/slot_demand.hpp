/// @file
/// Measures the demand of workspaces at this host.
#pragma once

#include "workspace_demand.hpp"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace daleshelf
{

/// Measures the demand for slots that arrives at this host, admitted or not, as
/// an exponentially decayed rate. Does no I/O.
class slot_demand
{
public:
    /// Adds a request.
    /// @param request its service, workspace and rank; `slots` is not read
    /// @param slot_time time for which it would occupy a slot; ignored unless
    /// positive, limited to two minutes
    void add(const workspace_demand& request, absl::Duration slot_time,
             absl::Time now);

    /// @return the demand now, the largest first, bounded in number
    [[nodiscard]] std::vector<workspace_demand> rates(absl::Time now);

private:
    /// Identifies a stream of requests.
    struct demand_key
    {
        service_name service;
        workspace_id workspace;
        int rank = 0;

        auto operator<=>(const demand_key&) const = default;
    };

    struct decayed_rate
    {
        double slots = 0;
        absl::Time updated_at = absl::InfinitePast();
    };

    [[nodiscard]] decayed_rate& rate_of(const workspace_demand& request,
                                        absl::Time now);
    void evict_smallest(absl::Time now);

    std::map<demand_key, decayed_rate> m_rates;
};

} // namespace daleshelf
