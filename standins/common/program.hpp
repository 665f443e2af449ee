/// @file
/// What the stand-ins' main functions share.
#pragma once

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <functional>
#include <http/http_message.hpp>
#include <http/http_server.hpp>
#include <string>

namespace daleshelf::standin
{

/// @param status HTTP status
/// @param body the JSON body
/// @return a whole response
[[nodiscard]] http_response json_response(int status,
                                          const boost::json::value& body);

/// @return a JSON response that only says what is wrong
[[nodiscard]] http_response error_response(int status,
                                           const std::string& message);

/// Adds `--address`, `--port` and `--help`.
/// @param options the program's own options
void add_common_options(boost::program_options::options_description& options);

/// Reads the command line; ends the process on `--help` or a fault.
[[nodiscard]] boost::program_options::variables_map
read_command_line(int argc, char** argv,
                  const boost::program_options::options_description& options);

/// Serves until SIGTERM or SIGINT; prints `ready ADDRESS:PORT` once it
/// listens.
/// @param values the command line
/// @param on_request answers requests
/// @return the exit code
int serve(const boost::program_options::variables_map& values,
          const http_server::handler& on_request);

} // namespace daleshelf::standin
