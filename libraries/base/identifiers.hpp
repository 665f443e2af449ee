/// @file
/// The identifiers and units that every package shares.
#pragma once

#include "strong_id.hpp"
#include "strong_number.hpp"

namespace daleshelf
{

using host_id = strong_id<struct host_id_tag>;
using hall_id = strong_id<struct hall_id_tag>;
using workspace_id = strong_id<struct workspace_id_tag>;
using upstream_id = strong_id<struct upstream_id_tag>;
using model_name = strong_id<struct model_name_tag>;
using service_name = strong_id<struct service_name_tag>;
/// Version of the software that a server runs.
using version_name = strong_id<struct version_name_tag>;
using request_id = strong_id<struct request_id_tag>;
using attempt_id = strong_id<struct attempt_id_tag>;
using change_id = strong_id<struct change_id_tag>;

/// Offset of a record in a stream of the platform's log.
using log_offset = strong_number<struct log_offset_tag>;
/// Version of one declared resource; 0 means that it does not exist.
using resource_version = strong_number<struct resource_version_tag>;
/// Position of a token in an answer, from 0.
using token_position = strong_number<struct token_position_tag>;
/// Start of a process: a later start of the same host has a higher number.
using incarnation = strong_number<struct incarnation_tag>;

/// Unix millisecond at which a server started; 0: it has not said so.
using upstream_birth = strong_number<struct upstream_birth_tag>;

} // namespace daleshelf
