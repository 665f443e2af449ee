#include "share_controller.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>
#include <utility>

namespace daleshelf
{

namespace
{

// Demand of others that is older may be over: nobody is rejected for it.
constexpr absl::Duration max_age = absl::Seconds(1);
// By how much a less urgent rank may be admitted more often than a more urgent
// one.
constexpr double rank_tolerance = 0.05;

// Beyond any fleet (10,000 engines of 64 slots are 640,000 slots), and small
// enough that sums neither overflow nor lose the demand of others.
constexpr double max_slots = 1e9;
// Bounds the memory that reports of other hosts can take.
constexpr std::size_t max_workspaces = 1024;

bool is_rank(int rank, std::size_t ranks)
{
    return rank >= 0 && static_cast<std::size_t>(rank) < ranks;
}

/// One party of a division.
struct claim
{
    double demand = 0;
    double* share = nullptr; ///< what it gets
};

// Water filling: those that ask for less than an equal part of what is left get
// all of it, the others an equal part.
void divide(double capacity, std::vector<claim> claims)
{
    std::sort(claims.begin(), claims.end(),
              [](const auto& left, const auto& right)
              { return left.demand < right.demand; });
    auto left = capacity;
    auto count = static_cast<double>(claims.size());
    for (const auto& claim : claims)
    {
        *claim.share = std::min(claim.demand, left / count);
        left -= *claim.share;
        count -= 1;
    }
}

void move_towards(double& value, double target, double part)
{
    value += part * (target - value);
}

/// Adjacent ranks of a workspace that are admitted alike.
struct rank_pool
{
    std::size_t first = 0; ///< the most urgent of them
    double demand = 0;
    double admitted = 0;
};

// Pools adjacent ranks while the less urgent one is admitted more often.
template <std::size_t Ranks>
std::vector<rank_pool> pools_of(const std::array<double, Ranks>& demand,
                                const std::array<double, Ranks>& admitted)
{
    std::vector<rank_pool> pools;
    for (std::size_t rank = 0; rank < Ranks; ++rank)
    {
        if (demand[rank] <= 0)
        {
            continue;
        }
        rank_pool last{rank, demand[rank], admitted[rank]};
        while (!pools.empty() && last.admitted * pools.back().demand >
                                     pools.back().admitted * last.demand)
        {
            last = {pools.back().first, last.demand + pools.back().demand,
                    last.admitted + pools.back().admitted};
            pools.pop_back();
        }
        pools.push_back(last);
    }
    return pools;
}

} // namespace

double
share_controller::workspace_share::admitted_fraction(std::size_t rank) const
{
    for (auto known = rank + 1; known-- > 0;)
    {
        if (demand[known] > 0)
        {
            return std::clamp(admitted[known] / demand[known], 0.0, 1.0);
        }
    }
    return 1;
}

void share_controller::update(const service_name& service, double capacity,
                              const std::vector<workspace_demand>& demand,
                              absl::Time measured_at)
{
    drop_old_services(measured_at);
    service_shares updated;
    updated.capacity = std::isfinite(capacity)
                           ? std::max(0.0, capacity)
                           : std::numeric_limits<double>::infinity();
    updated.measured_at = measured_at;
    for (const auto& entry : demand)
    {
        if (entry.service == service)
        {
            add_demand(updated, entry);
        }
    }
    if (updated.demand > updated.capacity)
    {
        divide_capacity(updated);
        for (auto& [name, workspace] : updated.workspaces)
        {
            admit_by_rank(workspace);
        }
        keep_order_of_ranks(updated);
    }
    m_services[service] = std::move(updated);
}

share_verdict share_controller::admit(const workspace_demand& request,
                                      double random, absl::Time now) const
{
    share_verdict verdict;
    const auto* service = find_recent(request.service, now);
    if (service == nullptr)
    {
        return verdict;
    }
    verdict.capacity = service->capacity;
    verdict.age = now - service->measured_at;
    const auto found = service->workspaces.find(request.workspace);
    if (service->demand <= service->capacity ||
        found == service->workspaces.end())
    {
        return verdict;
    }
    const auto& workspace = found->second;
    verdict.demand = workspace.total;
    verdict.share = workspace.share;
    const auto rank = std::clamp(request.rank, 0, static_cast<int>(ranks) - 1);
    verdict.admitted_fraction =
        workspace.admitted_fraction(static_cast<std::size_t>(rank));
    verdict.is_admitted =
        verdict.admitted_fraction >= 1 || random < verdict.admitted_fraction;
    return verdict;
}

double share_controller::shortage(const service_name& service,
                                  absl::Time now) const
{
    const auto* known = find_recent(service, now);
    return known == nullptr ? 0
                            : std::max(0.0, known->demand - known->capacity);
}

void share_controller::add_demand(service_shares& service,
                                  const workspace_demand& entry)
{
    if (!is_rank(entry.rank, ranks) || !std::isfinite(entry.slots) ||
        entry.slots <= 0)
    {
        return;
    }
    const bool is_full = service.workspaces.size() >= max_workspaces;
    if (is_full && service.workspaces.count(entry.workspace) == 0)
    {
        return;
    }
    const auto slots = std::min(entry.slots, max_slots);
    auto& workspace = service.workspaces[entry.workspace];
    workspace.demand[static_cast<std::size_t>(entry.rank)] += slots;
    workspace.total += slots;
    service.demand += slots;
}

void share_controller::divide_capacity(service_shares& service)
{
    std::vector<claim> claims;
    for (auto& [name, workspace] : service.workspaces)
    {
        claims.push_back({workspace.total, &workspace.share});
    }
    divide(service.capacity, std::move(claims));
}

// Admits the most urgent ranks of a workspace first.
void share_controller::admit_by_rank(workspace_share& workspace)
{
    if (workspace.total <= workspace.share)
    {
        // Subtracting would lose a rank that is tiny beside the others.
        workspace.admitted = workspace.demand;
        return;
    }
    auto left = workspace.share;
    for (std::size_t rank = 0; rank < ranks; ++rank)
    {
        workspace.admitted[rank] = std::min(workspace.demand[rank], left);
        left -= workspace.admitted[rank];
    }
}

// A workspace beyond its share may have most of the urgent requests, so that
// less urgent ones of other workspaces are admitted more often. Each step uses
// the whole capacity.
void share_controller::keep_order_of_ranks(service_shares& service)
{
    // 1. Less urgent ranks give up as few slots as possible.
    blend_with_equal_ranks(service);
    // 2. No workspace gets more for less urgent requests than for urgent ones.
    for (auto& [name, workspace] : service.workspaces)
    {
        pool_ranks(workspace);
    }
    // 3. Pooling may have raised a rank over a more urgent one.
    blend_with_urgency(service);
    for (auto& [name, workspace] : service.workspaces)
    {
        workspace.share = std::accumulate(workspace.admitted.begin(),
                                          workspace.admitted.end(), 0.0);
    }
}

// Blends with a division that gives all ranks the same fraction, and divides
// each rank by max-min fairness.
void share_controller::blend_with_equal_ranks(service_shares& service)
{
    const auto demand = demand_by_rank(service.workspaces);
    const auto fractions = fractions_by_rank(service.workspaces, demand);
    const auto equal = service.capacity / service.demand;
    slots_by_rank equal_fractions{};
    equal_fractions.fill(equal);
    const auto part =
        blend_that_keeps_order(demand, fractions, equal_fractions);
    if (part <= 0)
    {
        return;
    }
    std::vector<double> shares(service.workspaces.size());
    for (std::size_t rank = 0; rank < ranks; ++rank)
    {
        std::vector<claim> claims;
        for (auto& [name, workspace] : service.workspaces)
        {
            claims.push_back({workspace.demand[rank], &shares[claims.size()]});
        }
        divide(equal * demand[rank], std::move(claims));
        auto share = shares.begin();
        for (auto& [name, workspace] : service.workspaces)
        {
            move_towards(workspace.admitted[rank], *share++, part);
        }
    }
}

// Blends with a division that serves the most urgent rank first, whatever the
// workspace.
void share_controller::blend_with_urgency(service_shares& service)
{
    const auto demand = demand_by_rank(service.workspaces);
    const auto fractions = fractions_by_rank(service.workspaces, demand);
    const auto by_urgency = fractions_by_urgency(service.capacity, demand);
    const auto part = blend_that_keeps_order(demand, fractions, by_urgency);
    if (part <= 0)
    {
        return;
    }
    for (auto& [name, workspace] : service.workspaces)
    {
        for (std::size_t rank = 0; rank < ranks; ++rank)
        {
            move_towards(workspace.admitted[rank],
                         by_urgency[rank] * workspace.demand[rank], part);
        }
    }
}

// Gives pooled ranks the same fraction.
void share_controller::pool_ranks(workspace_share& workspace)
{
    auto pools = pools_of(workspace.demand, workspace.admitted);
    for (auto end = ranks; !pools.empty(); pools.pop_back())
    {
        const auto& pool = pools.back();
        const auto fraction = pool.admitted / pool.demand;
        for (auto rank = pool.first; rank < end; ++rank)
        {
            workspace.admitted[rank] = workspace.demand[rank] * fraction;
        }
        end = pool.first;
    }
}

share_controller::slots_by_rank
share_controller::demand_by_rank(const shares_by_workspace& workspaces)
{
    slots_by_rank demand{};
    for (const auto& [name, workspace] : workspaces)
    {
        for (std::size_t rank = 0; rank < ranks; ++rank)
        {
            demand[rank] += workspace.demand[rank];
        }
    }
    return demand;
}

// Fraction of each rank that is admitted over all workspaces; 1 without demand.
share_controller::slots_by_rank
share_controller::fractions_by_rank(const shares_by_workspace& workspaces,
                                    const slots_by_rank& demand)
{
    slots_by_rank admitted{};
    for (const auto& [name, workspace] : workspaces)
    {
        for (std::size_t rank = 0; rank < ranks; ++rank)
        {
            admitted[rank] += workspace.admitted[rank];
        }
    }
    for (std::size_t rank = 0; rank < ranks; ++rank)
    {
        admitted[rank] = demand[rank] > 0 ? admitted[rank] / demand[rank] : 1;
    }
    return admitted;
}

// Fractions if the capacity goes to the most urgent rank first, whatever the
// workspace.
share_controller::slots_by_rank
share_controller::fractions_by_urgency(double capacity,
                                       const slots_by_rank& demand)
{
    slots_by_rank fractions{};
    auto left = capacity;
    for (std::size_t rank = 0; rank < ranks; ++rank)
    {
        const auto admitted = std::min(demand[rank], left);
        fractions[rank] = demand[rank] > 0 ? admitted / demand[rank] : 1;
        left -= admitted;
    }
    return fractions;
}

// The least part of a blend of two divisions at which the gap between any two
// ranks is tolerated. The gap is linear in the part, and is not positive at 1.
double share_controller::blend_that_keeps_order(const slots_by_rank& demand,
                                                const slots_by_rank& from,
                                                const slots_by_rank& to)
{
    double part = 0;
    for (std::size_t urgent = 0; urgent < ranks; ++urgent)
    {
        for (auto other = urgent + 1; other < ranks; ++other)
        {
            const auto gap = from[other] - from[urgent];
            if (demand[urgent] <= 0 || demand[other] <= 0 ||
                gap <= rank_tolerance)
            {
                continue;
            }
            const auto gap_at_end = to[other] - to[urgent];
            part = std::max(part, (gap - rank_tolerance) / (gap - gap_at_end));
        }
    }
    return std::min(1.0, part);
}

// Services that are no longer configured are not updated.
void share_controller::drop_old_services(absl::Time now)
{
    for (auto entry = m_services.begin(); entry != m_services.end();)
    {
        const bool is_old = now - entry->second.measured_at > max_age;
        entry = is_old ? m_services.erase(entry) : std::next(entry);
    }
}

const share_controller::service_shares*
share_controller::find_recent(const service_name& service, absl::Time now) const
{
    const auto found = m_services.find(service);
    const bool is_recent =
        found != m_services.end() && now - found->second.measured_at <= max_age;
    return is_recent ? &found->second : nullptr;
}

} // namespace daleshelf
