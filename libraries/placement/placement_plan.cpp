#include "placement_plan.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

/// A deployment and how many upstreams should hold it.
struct wanted_deployment
{
    const deployment_entry* deployment = nullptr;
    double demand = 0;
};

std::vector<wanted_deployment> wanted_in(const configuration& config,
                                         const hall_id& hall,
                                         const demand_table& demand)
{
    std::vector<wanted_deployment> wanted;
    for (const auto& [name, deployment] : config.deployments())
    {
        const bool is_here =
            deployment.halls.empty() || deployment.halls.contains(hall);
        if (!is_here || deployment.replicas_per_hall <= 0)
        {
            continue;
        }
        const auto found = demand.find(name);
        wanted.push_back(
            {&deployment, found == demand.end() ? 0 : found->second});
    }
    std::sort(wanted.begin(), wanted.end(),
              [](const wanted_deployment& left, const wanted_deployment& right)
              {
                  const auto key = [](const wanted_deployment& item) {
                      return std::pair(-item.deployment->priority,
                                       -item.demand);
                  };
                  return std::pair(key(left), left.deployment->name) <
                         std::pair(key(right), right.deployment->name);
              });
    return wanted;
}

bool holds(const placement_upstream& upstream, const std::string& model)
{
    return upstream.entry->models.contains(model);
}

/// @return the best upstream to load a model on, or null
const placement_upstream*
choose_target(const std::vector<placement_upstream>& upstreams,
              const std::string& model)
{
    const placement_upstream* best = nullptr;
    const auto key = [](const placement_upstream& item)
    {
        return std::tuple(item.entry->models.size(), item.entry->price_per_hour,
                          item.entry->id);
    };
    for (const auto& item : upstreams)
    {
        if (!item.is_usable || holds(item, model))
        {
            continue;
        }
        if (best == nullptr || key(item) < key(*best))
        {
            best = &item;
        }
    }
    return best;
}

void plan_loads(const wanted_deployment& wanted,
                const std::vector<placement_upstream>& upstreams,
                placement_plan& plan)
{
    const auto& model = wanted.deployment->engine_model;
    const auto held =
        std::count_if(upstreams.begin(), upstreams.end(),
                      [&model](const placement_upstream& item)
                      { return item.is_usable && holds(item, model); });
    if (held >= wanted.deployment->replicas_per_hall)
    {
        return;
    }
    const auto* target = choose_target(upstreams, model);
    if (target == nullptr)
    {
        plan.short_of_upstreams.push_back(wanted.deployment->name);
        return;
    }
    plan.orders.push_back(
        {placement_order::action::load, target->entry->id, model});
}

/// What no deployment of the hall wants any more.
void plan_unloads(const std::vector<wanted_deployment>& wanted,
                  const std::vector<placement_upstream>& upstreams,
                  placement_plan& plan)
{
    for (const auto& item : upstreams)
    {
        for (const auto& model : item.entry->models)
        {
            const bool is_wanted =
                std::any_of(wanted.begin(), wanted.end(),
                            [&model](const wanted_deployment& one)
                            { return one.deployment->engine_model == model; });
            if (!is_wanted && item.is_usable)
            {
                plan.orders.push_back(
                    {placement_order::action::unload, item.entry->id, model});
            }
        }
    }
}

} // namespace

placement_plan plan_placement(const configuration& config, const hall_id& hall,
                              const std::vector<placement_upstream>& upstreams,
                              const demand_table& demand)
{
    placement_plan plan;
    const auto wanted = wanted_in(config, hall, demand);
    for (const auto& one : wanted)
    {
        plan_loads(one, upstreams, plan);
    }
    const bool is_anything_managed = !wanted.empty();
    if (plan.orders.empty() && is_anything_managed)
    {
        plan_unloads(wanted, upstreams, plan);
    }
    return plan;
}

} // namespace daleshelf
