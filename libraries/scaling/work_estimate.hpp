/// @file
/// How much of a server's time a request takes.
#pragma once

#include <ingress/request_facts.hpp>

namespace daleshelf
{

/// @param facts the request
/// @param unread prompt tokens that this machine has not sent to the server
/// before; other machines may have sent the shared ones
/// @return milliseconds that a server is kept busy by reading and generating
[[nodiscard]] double estimated_work_ms(const request_facts& facts,
                                       std::int64_t unread);

} // namespace daleshelf
