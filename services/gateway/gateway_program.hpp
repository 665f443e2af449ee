/// @file
/// `daleshelfd gateway`: the daemon in front of the users' platform.
#pragma once

#include <string>

namespace daleshelf
{

/// Serves requests until a graceful shutdown is complete.
/// @param settings_path path of the settings file
/// @return the exit code of the process
/// @throws settings_error if the settings are not valid
int run_gateway(const std::string& settings_path);

/// Validates the settings file.
/// @param settings_path path of the settings file
/// @throws settings_error if the settings are not valid
void check_gateway_settings(const std::string& settings_path);

} // namespace daleshelf
