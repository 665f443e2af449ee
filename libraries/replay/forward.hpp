/// @file
/// Forward declarations of the replay package.
#pragma once

namespace daleshelf
{

class append_pacer;
class backoff;
class log_cursor;

} // namespace daleshelf
