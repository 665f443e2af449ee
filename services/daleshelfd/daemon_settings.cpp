#include "daemon_settings.hpp"

namespace daleshelf
{

namespace
{

constexpr std::int64_t highest_port = 65535;
constexpr std::int64_t longest_time_ms = 86400000;
constexpr std::int64_t largest_body = std::int64_t{64} << 20;
constexpr std::int64_t largest_store = std::int64_t{1} << 34;

std::vector<setting<daemon_settings>> make_table()
{
    using settings = daemon_settings;
    constexpr auto required = setting_presence::required;
    constexpr auto optional = setting_presence::optional;
    const setting_limits port{0, highest_port, {}};
    const setting_limits time{0, longest_time_ms, {}};
    return {
        {"host.id", &settings::host_id,
         "name of this host in the platform's list", required},
        {"host.hall", &settings::host_hall, "hall that this host is in",
         required},
        {"callers.address", &settings::callers_address,
         "IP number that callers reach"},
        {"callers.port", &settings::callers_port,
         "port that callers reach; 0: any free one", optional, port},
        {"operators.address", &settings::operators_address,
         "IP number that operators reach"},
        {"operators.port", &settings::operators_port,
         "port that operators reach; 0: any free one", optional, port},
        {"operators.token_sha256", &settings::operators_token_sha256,
         "SHA-256 of the operators' bearer token, in hexadecimal digits",
         required},
        {"peers.address", &settings::peers_address,
         "IP number that other entry hosts reach"},
        {"peers.port", &settings::peers_port,
         "port that other entry hosts reach; 0: any free one", optional, port},
        {"peers.seeds", &settings::peers_seeds,
         "IP:PORT of some other entry hosts, to join the fleet by"},
        {"platform.url", &settings::platform_url,
         "http://IP:PORT of the platform", required},
        {"platform.stream", &settings::platform_stream,
         "stream of the log that holds the configuration"},
        {"log.format",
         &settings::log_format,
         "how log lines look",
         optional,
         {0, 0, {"json", "text"}}},
        {"log.level",
         &settings::log_level,
         "events below it are left out",
         optional,
         {0, 0, {"debug", "info", "warning", "error"}}},
        {"traces.endpoint", &settings::traces_endpoint,
         "URL that takes spans in OTLP/JSON; empty: none are exported"},
        {"limits.max_body_bytes",
         &settings::max_body_bytes,
         "largest body of a request",
         optional,
         {1024, largest_body, {}}},
        {"limits.kept_answer_bytes",
         &settings::kept_answer_bytes,
         "memory for finished answers that can be fetched again",
         optional,
         {0, largest_store, {}}},
        {"limits.kept_answer_ms", &settings::kept_answer_time,
         "how long a finished answer can be fetched again", optional, time},
        {"drain.balancer_ms", &settings::balancer_time,
         "time between not being ready and taking no more connections",
         optional, time},
        {"drain.finish_ms", &settings::finish_time,
         "how long requests may end here before they are handed to other "
         "entry hosts",
         optional, time},
        {"drain.timeout_ms", &settings::drain_timeout,
         "longest wait for requests in flight at a planned stop", optional,
         time},
        {"test.faults", &settings::has_test_faults,
         "whether operators may cut this host off from others, for tests"},
    };
}

} // namespace

std::span<const setting<daemon_settings>> daemon_setting_table()
{
    static const auto table = make_table();
    return table;
}

} // namespace daleshelf
