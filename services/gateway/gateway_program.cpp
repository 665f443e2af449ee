#include "gateway_program.hpp"

#include "gateway.hpp"

#include <csignal>
#include <cstdlib>
#include <malloc.h>
#include <settings/settings_document.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

// Large buffers, such as bodies that grow, are returned to the system once they
// are freed. Without a fixed threshold glibc raises it to the size of the first
// large buffer, and keeps the later ones as a fragmented heap.
void return_large_buffers()
{
    constexpr int large_buffer_bytes = 131072;
    mallopt(M_MMAP_THRESHOLD, large_buffer_bytes);
}

gateway_settings load_settings(const std::string& path)
{
    return read_settings<gateway_settings>(path, gateway_setting_table());
}

} // namespace

int run_gateway(const std::string& settings_path)
{
    auto settings = load_settings(settings_path);
    std::signal(SIGPIPE, SIG_IGN);
    return_large_buffers();
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
