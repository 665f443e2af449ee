/// @file
/// Forward declarations of the platform package.
#pragma once

namespace daleshelf
{

class log_client;
struct log_append_result;
struct log_read_result;
struct log_record;

} // namespace daleshelf
