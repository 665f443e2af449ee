#include "gateway_program.hpp"

#include "gateway.hpp"

#include <csignal>
#include <cstdlib>
#include <settings/settings_document.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

gateway_settings load_settings(const std::string& path)
{
    return read_settings<gateway_settings>(path, gateway_setting_table());
}

} // namespace

int run_gateway(const std::string& settings_path)
{
    auto settings = load_settings(settings_path);
    std::signal(SIGPIPE, SIG_IGN);
    start_logging("daleshelfd", log_format::json,
                  severity_from_name(settings.log_level),
                  log_output::bounded_standard_output);
    constexpr int threads = 1;
    asio::io_context context(threads);
    gateway daemon(context, std::move(settings), settings_path);
    daemon.run();
    finish_log();
    return EXIT_SUCCESS;
}

void check_gateway_settings(const std::string& settings_path)
{
    (void)load_settings(settings_path);
}

} // namespace daleshelf
