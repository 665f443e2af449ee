/// @file
/// Forward declarations of the poison package.
#pragma once

namespace daleshelf
{

class answered_shapes;
class crash_cover;
class probe_schedule;
class poison_detector;
class suspects_in_flight;
struct poison_options;
struct poison_record;
struct request_content;
struct server_crash;
struct suspect_request;

} // namespace daleshelf
