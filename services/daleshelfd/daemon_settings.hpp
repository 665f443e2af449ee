/// @file
/// Settings of one daleshelfd process.
#pragma once

#include <chrono>
#include <cstdint>
#include <settings/setting.hpp>
#include <span>
#include <string>
#include <vector>

namespace daleshelf
{

/// What a process learns at its start. See docs/SETTINGS.md.
struct daemon_settings
{
    std::string host_id;
    std::string host_hall;
    std::string callers_address = "127.0.0.1";
    std::int64_t callers_port = 8080;
    std::string operators_address = "127.0.0.1";
    std::int64_t operators_port = 8081;
    std::string operators_token_sha256;
    std::string peers_address = "127.0.0.1";
    std::int64_t peers_port = 8082;
    std::vector<std::string> peers_seeds;
    std::string platform_url;
    std::string platform_stream = "daleshelf-configuration";
    std::string log_format = "json";
    std::string log_level = "info";
    std::string traces_endpoint;
    std::int64_t max_body_bytes = std::int64_t{4} << 20;
    std::int64_t kept_answer_bytes = std::int64_t{32} << 20;
    std::chrono::milliseconds kept_answer_time{300000};
    std::chrono::milliseconds balancer_time{0};
    std::chrono::milliseconds finish_time{10000};
    std::chrono::milliseconds drain_timeout{30000};
    bool has_test_faults = false;
};

/// @return every key of the settings file
[[nodiscard]] std::span<const setting<daemon_settings>> daemon_setting_table();

} // namespace daleshelf
