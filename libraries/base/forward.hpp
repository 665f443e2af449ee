/// @file
/// Forward declarations of the base package.
#pragma once

namespace daleshelf
{

class request_error;
template <typename Tag>
class strong_id;
template <typename Tag>
class strong_number;
enum class verdict;

} // namespace daleshelf
