/// @file
/// Forward declarations of the streams package.
#pragma once

namespace daleshelf
{

class origin_batch;
class origin_store;
class version_history;
struct keeper_candidate;
struct origin_message;
struct stream_origin;

} // namespace daleshelf
