#include "gateway_state.hpp"

#include "client_capacity.hpp"

#include <algorithm>
#include <base/wall_clock.hpp>

namespace daleshelf
{

namespace
{

retry_budget_options make_retry_options(const gateway_settings& settings)
{
    retry_budget_options options;
    options.ratio = settings.retry_ratio;
    options.slack = settings.retry_slack;
    return options;
}

quota_options make_quota_options(const gateway_settings& settings)
{
    quota_options options;
    options.window = absl::FromChrono(settings.quota_window);
    options.overshoot = settings.quota_overshoot;
    options.slack = settings.quota_slack;
    return options;
}

poison_options make_poison_options(const gateway_settings& settings)
{
    poison_options options;
    options.confirmation_odds = settings.poison_confirmation_odds;
    options.crash_limit = static_cast<std::size_t>(settings.poison_crash_limit);
    options.first_probe_delay =
        absl::FromChrono(settings.poison_first_probe_delay);
    options.probe_delay_limit =
        absl::FromChrono(settings.poison_probe_delay_limit);
    return options;
}

std::uint64_t random_seed(const gateway_settings& settings)
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
    , own_incarnation(absl::ToUnixMillis(wall_time()))
    , rollouts(self, own_incarnation, servers.versions())
    , choice(servers, hall, random_seed(settings), settings)
    , origins(loop, self, hall, servers, settings.is_first_start)
    , pool(loop)
    , upstreams(*this)
    , quota(loop, shared_quota(self, hall, own_incarnation,
                               make_quota_options(settings)))
    , slots(loop, servers, shared_slots(self, hall, own_incarnation))
    , retries(make_retry_options(settings))
    , usage(absl::FromChrono(settings.usage_window))
    , poison(make_poison_options(settings))
    , poison_updates(loop.get_executor())
    , limit_updates(loop.get_executor())
    , crashes(*this)
    , limits(*this)
    , client_memory(std::make_shared<request_memory>(
          client_capacity_of(settings).request_bytes))
{
    clock.update(self, wall_time(), now());
}

bool gateway_state::models_headroom(const ingress_service& service) const
{
    return service.is_engine && settings.min_slot_tokens > 0 &&
           service.cache_tokens >=
               settings.min_slot_tokens * std::max(1, service.engine_slots);
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
