/// @file
/// Forward declarations of the upstreams package.
#pragma once

namespace daleshelf
{

class engine_client;
struct engine_call;
struct engine_handlers;
struct service_call;

} // namespace daleshelf
