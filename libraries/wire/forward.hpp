/// @file
/// Forward declarations of the wire package.
#pragma once

namespace daleshelf
{

struct message_field;
struct request_head;
struct response_head;
class request_parser;
class response_parser;

} // namespace daleshelf
