/// @file
/// Forward declarations of the platform package.
#pragma once

namespace daleshelf
{

class cloud_client;
class log_client;
struct host_order;
struct host_order_result;
struct log_append_result;
struct log_read_result;
struct log_record;

} // namespace daleshelf
