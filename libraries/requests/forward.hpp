/// @file
/// Forward declarations of the requests package.
#pragma once

namespace daleshelf
{

class answer_text;
class request_machine;
class retry_budget;
struct answer_piece;
struct attempt_result;
struct request_description;

} // namespace daleshelf
