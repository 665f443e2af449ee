#include "program.hpp"

#include <csignal>
#include <cstdlib>
#include <http/http_exchange.hpp>
#include <iostream>
#include <memory>
#include <utility>

namespace daleshelf::standin
{

namespace options = boost::program_options;

http_response json_response(int status, const boost::json::value& body)
{
    http_response response;
    response.status = status;
    response.body = boost::json::serialize(body);
    return response;
}

http_response error_response(int status, const std::string& message)
{
    return json_response(status, boost::json::object{{"error", message}});
}

void add_common_options(options::options_description& description)
{
    auto add = description.add_options();
    add("help", "show the options");
    add("address", options::value<std::string>()->default_value("127.0.0.1"),
        "IP number to listen on");
    add("port", options::value<std::uint16_t>()->default_value(0),
        "port to listen on; 0: any free one");
}

options::variables_map
read_command_line(int argc, char** argv,
                  const options::options_description& description)
{
    options::variables_map values;
    try
    {
        options::store(options::parse_command_line(argc, argv, description),
                       values);
        options::notify(values);
    }
    catch (const options::error& error)
    {
        std::cerr << argv[0] << ": " << error.what() << "\n";
        std::exit(2); // NOLINT(concurrency-mt-unsafe)
    }
    if (values.count("help") > 0)
    {
        std::cout << description;
        std::exit(0); // NOLINT(concurrency-mt-unsafe)
    }
    return values;
}

int serve(const options::variables_map& values,
          const http_server::handler& on_request)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    http_server_options listen;
    listen.address = values["address"].as<std::string>();
    listen.port = values["port"].as<std::uint16_t>();
    std::unique_ptr<http_server> server;
    try
    {
        server = http_server::create(listen, on_request);
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << "\n";
        return 1;
    }
    std::cout << "ready " << listen.address << ":" << server->port()
              << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace daleshelf::standin
