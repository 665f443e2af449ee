/// @file
/// daleshelfd: the daemon on every entry host.
#include "daemon_settings.hpp"
#include "entry_host.hpp"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <gateway/gateway_program.hpp>
#include <gateway/gateway_settings.hpp>
#include <iostream>
#include <platform/boot.hpp>
#include <settings/settings_document.hpp>
#include <telemetry/log.hpp>
#include <thread>

namespace
{

using namespace daleshelf;
namespace options = boost::program_options;

constexpr int exit_usage = 2;
constexpr int wake_signal = SIGUSR1;

void print_events()
{
    std::cout << "| number | severity | name | meaning |\n"
                 "| --- | --- | --- | --- |\n";
    for (const auto& event : event_catalogue())
    {
        std::cout << "| " << event.number << " | "
                  << severity_name(event.severity) << " | " << event.name
                  << " | " << event.meaning << " |\n";
    }
}

template <typename Settings>
void print_settings(std::span<const setting<Settings>> table)
{
    std::cout << "| key | required | meaning |\n| --- | --- | --- |\n";
    for (const auto& entry : table)
    {
        const bool is_required = entry.presence == setting_presence::required;
        std::cout << "| `" << entry.key << "` | "
                  << (is_required ? "yes" : "no") << " | " << entry.meaning
                  << " |\n";
    }
}

sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, wake_signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const daemon_settings& settings)
{
    const auto signals = block_stop_signals();
    start_logging("daleshelfd",
                  settings.log_format == "json" ? log_format::json
                                                : log_format::text,
                  severity_from_name(settings.log_level));
    entry_host process(settings);
    std::cout << "ready callers=" << settings.callers_address << ":"
              << process.callers_port()
              << " operators=" << settings.operators_address << ":"
              << process.operators_port()
              << " peers=" << process.peers_address() << std::endl;
    std::thread signal_thread(
        [&process, &signals]
        {
            int received = 0;
            sigwait(&signals, &received);
            process.start_drain();
        });
    process.run_until_drained();
    // The thread may still wait if the stop was asked for otherwise.
    pthread_kill(signal_thread.native_handle(), wake_signal);
    signal_thread.join();
    return EXIT_SUCCESS;
}

int run_as_gateway(const std::string& given_path, bool is_check)
{
    const auto path =
        given_path.empty() ? platform::settings_path() : given_path;
    if (path.empty())
    {
        std::cerr << "daleshelfd: --settings FILE is needed\n";
        return exit_usage;
    }
    if (is_check)
    {
        check_gateway_settings(path);
        std::cout << path << ": the settings are valid\n";
        return EXIT_SUCCESS;
    }
    return run_gateway(path);
}

} // namespace

int main(int argc, char** argv)
{
    std::string path;
    std::string role;
    options::positional_options_description positions;
    positions.add("role", 1);
    options::options_description description("daleshelfd");
    auto add = description.add_options();
    add("help", "show the options");
    add("role", options::value(&role)->default_value("host"),
        "`host`: an entry host of the product's own interface; `gateway`: the "
        "gateway of the users' platform");
    add("settings", options::value(&path), "the settings file, in TOML");
    add("check-settings", "check the settings file and end");
    add("list-events", "print the log events as a table and end");
    add("list-settings", "print the settings as a table and end");
    try
    {
        options::variables_map values;
        options::store(options::command_line_parser(argc, argv)
                           .options(description)
                           .positional(positions)
                           .run(),
                       values);
        options::notify(values);
        if (values.count("help") > 0)
        {
            std::cout << description;
            return EXIT_SUCCESS;
        }
        if (values.count("list-events") > 0)
        {
            print_events();
            return EXIT_SUCCESS;
        }
        if (values.count("list-settings") > 0)
        {
            print_settings<daemon_settings>(daemon_setting_table());
            std::cout << "\n";
            print_settings<gateway_settings>(gateway_setting_table());
            return EXIT_SUCCESS;
        }
        if (role == "gateway")
        {
            return run_as_gateway(path, values.count("check-settings") > 0);
        }
        if (path.empty())
        {
            std::cerr << "daleshelfd: --settings FILE is needed\n";
            return exit_usage;
        }
        const auto settings =
            read_settings<daemon_settings>(path, daemon_setting_table());
        if (values.count("check-settings") > 0)
        {
            std::cout << path << ": the settings are valid\n";
            return EXIT_SUCCESS;
        }
        return run(settings);
    }
    catch (const options::error& error)
    {
        std::cerr << "daleshelfd: " << error.what() << "\n";
        return exit_usage;
    }
    catch (const settings_error& error)
    {
        std::cerr << error.what() << "\n";
        return exit_usage;
    }
    catch (const std::exception& error)
    {
        std::cerr << "daleshelfd: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
