/// @file
/// How long tables of shared loads are used.
#pragma once

#include <absl/time/time.h>

namespace daleshelf
{

/// Age at which a host stops using a table.
inline constexpr absl::Duration table_lifetime = absl::Seconds(1);

} // namespace daleshelf
