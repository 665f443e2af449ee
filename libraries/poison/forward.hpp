/// @file
/// Forward declarations of the poison package.
#pragma once

namespace daleshelf
{

class answered_shapes;
class crash_cover;
class poison_probation;
class poison_watch;
class suspects_in_flight;
struct poison_options;
struct poison_record;
struct request_content;
struct server_end;
struct suspect_request;

} // namespace daleshelf
