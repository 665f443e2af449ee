/// @file
/// Settings of the gateway.
#pragma once

#include <chrono>
#include <ingress/decision_policy.hpp>
#include <settings/setting.hpp>
#include <span>
#include <string>
#include <vector>

namespace daleshelf
{

/// Values of the gateway's settings file; docs/SETTINGS.md lists the keys.
struct gateway_settings : decision_policy
{
    std::string host_id;
    std::string host_hall;
    std::int64_t memory_mb = 128;
    std::int64_t descriptors = 4096;
    std::string clients_address;
    std::string readiness_address;
    std::string metrics_address;
    std::string peers_address;
    std::vector<std::string> peer_seeds;
    bool is_first_start = false; ///< of the whole fleet
    std::string store_address;
    std::string duties_address;
    std::string log_level = "info";
    std::chrono::milliseconds stop_time{8000};
    double retry_ratio = 0.2;
    double retry_slack = 10;
    std::chrono::milliseconds quota_window{8000};
    double quota_overshoot = 0.1;
    double quota_slack = 0;
    std::chrono::milliseconds usage_window{5000};
    std::chrono::milliseconds usage_late{10000};
    double rollout_share = 0.1;
    double rollout_slack = 0;
    /// Memory for each slot of an engine, in tokens, from which on the headroom
    /// of a service is modelled; 0: never.
    std::int64_t min_slot_tokens = 0;
    // See poison_options for these four.
    double poison_confirmation_odds = 9.2;
    std::int64_t poison_crash_limit = 3;
    std::chrono::milliseconds poison_first_probe_delay{120000};
    std::chrono::milliseconds poison_probe_delay_limit{3600000};
};

/// @return every key that the gateway knows
[[nodiscard]] std::span<const setting<gateway_settings>>
gateway_setting_table();

} // namespace daleshelf
