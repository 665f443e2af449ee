#include "gateway_state.hpp"

#include <base/wall_clock.hpp>

namespace daleshelf
{

namespace
{

retry_budget_options retry_options(const gateway_settings& settings)
{
    retry_budget_options options;
    options.ratio = settings.retry_ratio;
    options.slack = settings.retry_slack;
    return options;
}

quota_options bound_of_quotas(const gateway_settings& settings)
{
    quota_options options;
    options.window = absl::FromChrono(settings.quota_window);
    options.overshoot = settings.quota_overshoot;
    options.slack = settings.quota_slack;
    return options;
}

poison_options bound_of_poison(const gateway_settings& settings)
{
    poison_options options;
    options.confirmation_odds = settings.poison_proof;
    options.crash_limit = static_cast<std::size_t>(settings.poison_most_ends);
    options.first_probe_delay = absl::FromChrono(settings.poison_first_trial);
    options.probe_delay_limit = absl::FromChrono(settings.poison_longest_trial);
    return options;
}

std::uint64_t seed_of(const gateway_settings& settings)
{
    return std::hash<std::string>()(settings.host_id) ^
           static_cast<std::uint64_t>(absl::ToUnixNanos(wall_time()));
}

} // namespace

std::string_view name_of(list_role role)
{
    switch (role)
    {
    case list_role::starting:
        return "starting";
    case list_role::alone:
        return "alone";
    case list_role::reader:
        return "reader";
    case list_role::follower:
        return "follower";
    }
    return "";
}

gateway_state::gateway_state(asio::io_context& loop, gateway_settings values)
    : context(loop)
    , settings(std::move(values))
    , self(settings.host_id)
    , hall(settings.host_hall)
    , started(absl::ToUnixMillis(wall_time()))
    , rollouts(self, started, servers.versions())
    , choice(servers, hall, seed_of(settings), settings)
    , pool(loop)
    , quota(loop, shared_quota(self, hall, started, bound_of_quotas(settings)))
    , retries(retry_options(settings))
    , usage(absl::FromChrono(settings.usage_window))
    , poison(bound_of_poison(settings))
    , poison_news(loop.get_executor())
    , limit_updates(loop.get_executor())
    , crashes(*this)
    , limits(*this)
{
    clock.update(self, wall_time(), now());
}

absl::Time gateway_state::now()
{
    return to_time(monotonic::now());
}

absl::Time gateway_state::to_time(monotonic::time_point at)
{
    return absl::UnixEpoch() + absl::FromChrono(at.time_since_epoch());
}

} // namespace daleshelf
