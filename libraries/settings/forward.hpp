/// @file
/// Forward declarations of the settings package.
#pragma once

namespace daleshelf
{

class settings_document;
class settings_error;
struct settings_fault;
template <typename Settings>
struct setting;

} // namespace daleshelf
