/// @file
/// Listing a topic with keys of the platform's store.
#pragma once

#include "http_call.hpp"

#include <functional>
#include <optional>
#include <platform/store_calls.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

/// The newest record of each key. The pages that they come in are no snapshot:
/// what changes between them comes with the topic's tail from `end` on.
struct listed_topic
{
    std::vector<platform::keyed_record> records;
    log_offset end;          ///< of the first page
    std::size_t skipped = 0; ///< records that could not be read
};

/// @param caller nobody else uses it meanwhile
/// @param answer_time how long each page may take
/// @param on_page called with each page that has come, but for the last one
/// @return nothing if the store has not given the whole list
awaitable<std::optional<listed_topic>> list_topic(
    http_caller& caller, std::string topic, milliseconds answer_time,
    std::function<void()> on_page = [] {});

} // namespace daleshelf
