#include "gateway_settings.hpp"

namespace daleshelf
{

namespace
{

constexpr std::int64_t time_limit_ms = 86400000;
constexpr std::int64_t retry_limit = 1000000;
// Below these, no request could be served.
constexpr std::int64_t min_memory_mb = 16;
constexpr std::int64_t min_descriptors = 256;
constexpr std::int64_t memory_limit_mb = 1000000;
constexpr std::int64_t descriptor_limit = 1000000;
constexpr std::int64_t server_limit = 100000;
// Upper limit of the retry delay of requests that exceed a quota.
constexpr std::int64_t quota_retry_limit_ms = 5000;
// Natural logarithm: odds of e^50. No request would be confirmed beyond.
constexpr std::int64_t confirmation_odds_limit = 50;
// A poison record holds up to 16 crashes.
constexpr std::int64_t crash_limit = 16;
// More than the memory of any engine.
constexpr std::int64_t slot_token_limit = 1000000000;
// A thousand times any quota limit in use.
constexpr std::int64_t quota_slack_limit = 1000000000;

std::vector<setting<gateway_settings>> make_table()
{
    using settings = gateway_settings;
    constexpr auto required = setting_presence::required;
    constexpr auto optional = setting_presence::optional;
    const setting_limits time{0, time_limit_ms, {}};
    const setting_limits retries{0, retry_limit, {}};
    const setting_limits quotas{0, quota_slack_limit, {}};
    const setting_limits part{0, 1, {}};
    const setting_limits servers{0, server_limit, {}};
    return {
        {"host.id", &settings::host_id, "name of this host", required},
        {"host.hall", &settings::host_hall, "hall that this host is in",
         required},
        {"host.memory_mb", &settings::memory_mb,
         "memory of this host; a quarter each is for requests and for what "
         "their connections have received",
         optional, setting_limits{min_memory_mb, memory_limit_mb, {}}},
        {"host.descriptors", &settings::descriptors,
         "descriptors that this process may open; clients take two thirds at "
         "most",
         optional, setting_limits{min_descriptors, descriptor_limit, {}}},
        {"clients.address", &settings::clients_address,
         "IP:PORT that clients reach", required},
        {"readiness.address", &settings::readiness_address,
         "IP:PORT where the balancer asks whether this host is ready",
         required},
        {"metrics.address", &settings::metrics_address,
         "IP:PORT that serves metrics; empty: none"},
        {"peers.address", &settings::peers_address,
         "IP:PORT that other gateways reach, by UDP and TCP", required},
        {"peers.seeds", &settings::peer_seeds,
         "IP:PORT of some other gateways; only the IP numbers count"},
        {"peers.first_start", &settings::is_first_start,
         "whether the whole fleet starts for the first time: no stream is "
         "older than this process; ignored if the store has listed this host "
         "before"},
        {"store.address", &settings::store_address,
         "IP:PORT of the platform's store", required},
        {"duties.address", &settings::duties_address,
         "IP:PORT that takes usage reports and orders; empty: none"},
        {"log.level",
         &settings::log_level,
         "events below it are left out",
         optional,
         {0, 0, {"debug", "info", "warning", "error"}}},
        {"drain.stop_ms", &settings::stop_time,
         "time between the order to stop and the end of this process", optional,
         time},
        {"retries.ratio", &settings::retry_ratio,
         "retries against requests, over all machines", optional, retries},
        {"retries.slack", &settings::retry_slack,
         "retries beyond the ratio, over all machines", optional, retries},
        {"quota.window_ms", &settings::quota_window,
         "span within which a tenant's use is counted", optional, time},
        {"quota.overshoot", &settings::quota_overshoot,
         "use beyond a limit that is borne, as a share of it", optional,
         quotas},
        {"quota.slack", &settings::quota_slack,
         "use beyond a limit that is borne besides, in the limit's unit",
         optional, quotas},
        {"usage.window_ms", &settings::usage_window,
         "length of a window of the usage report", optional, time},
        {"usage.late_ms", &settings::usage_late,
         "how long after its end a window is due", optional, time},
        {"rollouts.share", &settings::rollout_share,
         "part of a service's requests that a version may get before it is "
         "known to be good",
         optional, part},
        {"rollouts.slack", &settings::rollout_slack,
         "requests that such a version may get besides", optional, retries},
        {"poison.proof", &settings::poison_confirmation_odds,
         "logarithm of the odds at which a request counts as one that ends "
         "servers",
         optional, setting_limits{1, confirmation_odds_limit, {}}},
        {"poison.most_ends", &settings::poison_crash_limit,
         "ends after which less evidence is enough", optional,
         setting_limits{2, crash_limit, {}}},
        {"poison.first_trial_ms", &settings::poison_first_probe_delay,
         "time until such a request is tried again by one host; twice as long "
         "each time",
         optional, time},
        {"poison.longest_trial_ms", &settings::poison_probe_delay_limit,
         "the longest such time", optional, time},
        {"headroom.min_slot_tokens", &settings::min_slot_tokens,
         "memory for each slot of an engine, in tokens, from which on slots, "
         "speed, memory and shares are modelled; 0: never",
         optional, setting_limits{0, slot_token_limit, {}}},
        {"policy.routes_by_prompt", &settings::routes_by_prompt,
         "prefer servers that have read parts of a prompt"},
        {"policy.counts_peers", &settings::counts_peers,
         "count what other gateways have in flight at a server"},
        {"policy.passes_over_suspects", &settings::passes_over_suspects,
         "pass over servers that have failed lately"},
        {"policy.avoids_halls", &settings::avoids_halls,
         "avoid the hall where an attempt of a request broke"},
        {"policy.prefers_own_hall", &settings::prefers_own_hall,
         "prefer servers of the own hall among equals"},
        {"policy.compared_engines", &settings::compared_engines,
         "engines that are compared for a request", optional,
         setting_limits{1, server_limit, {}}},
        {"policy.weighs_slots", &settings::weighs_slots,
         "count the expected wait for a slot of an engine"},
        {"policy.weighs_speed", &settings::weighs_speed,
         "count the observed speed of each engine"},
        {"policy.weighs_memory", &settings::weighs_memory,
         "count the memory that requests occupy at an engine"},
        {"policy.shares_loads", &settings::shares_loads,
         "exchange loads through aggregators of each hall"},
        {"policy.shares_fairly", &settings::shares_fairly,
         "limit workspaces to their fair share of slots that are short"},
        {"policy.spreads_returns", &settings::spreads_returns,
         "spread retry times over the capacity that is expected"},
        {"policy.retries", &settings::retries_failures,
         "try another server after a failure"},
        {"policy.resumes_streams", &settings::resumes_streams,
         "go on with a broken stream at another server"},
        {"policy.quota_retry_ms", &settings::quota_retry_ms,
         "earliest return of a request beyond its quota", optional,
         setting_limits{0, quota_retry_limit_ms, {}}},
        {"policy.refuses_hopeless", &settings::refuses_hopeless,
         "refuse at once prompts that are expected to begin after their "
         "deadline"},
        {"policy.learns_engines", &settings::learns_engines,
         "learn the speed of engines; otherwise priors are used"},
        {"policy.orders_servers", &settings::orders_servers,
         "order servers as load asks for them"},
        {"policy.late_part", &settings::late_part,
         "part of prompts that may miss their objective by waiting", optional,
         part},
        {"policy.least_on_demand", &settings::least_on_demand,
         "servers on demand that a service has at least", optional, servers},
        {"policy.spare_halls", &settings::spare_halls,
         "halls whose spot servers may all be taken away at once", optional,
         servers},
        {"policy.dry_part", &settings::dry_part,
         "part of the way from the least to the usual need that is bought on "
         "demand while spot servers are not to be had",
         optional, part},
    };
}

} // namespace

std::span<const setting<gateway_settings>> gateway_setting_table()
{
    static const auto table = make_table();
    return table;
}

} // namespace daleshelf
