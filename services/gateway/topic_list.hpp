/// @file
/// Listing a topic with keys of the platform's store.
#pragma once

#include "http_call.hpp"

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
    log_offset end;                   ///< of the first page
    monotonic::time_point asked_at{}; ///< for the first page
    std::size_t skipped = 0;          ///< records that could not be read
};

/// A list that is asked for page by page. What has come is kept when a page
/// fails, and the next attempt goes on there: where hundreds of hosts list
/// together each page may take longer than its time.
class topic_listing
{
public:
    explicit topic_listing(std::string topic) : m_topic(std::move(topic)) {}

    /// Asks for the pages that have not come.
    /// @param caller nobody else uses it meanwhile
    /// @param page_time how long each page may take
    /// @return whether the list is whole
    awaitable<bool> go_on(http_caller& caller, milliseconds page_time);

    /// @return the whole list; another one begins
    [[nodiscard]] listed_topic take();

private:
    bool take_page(platform::newest_page page);

    std::string m_topic;
    listed_topic m_listed;
    std::string m_after; ///< key after which the next page begins
    bool m_is_whole = false;
};

/// Lists a topic at once.
/// @param caller nobody else uses it meanwhile
/// @param answer_time how long each page may take
/// @return nothing if the store has not given the whole list
awaitable<std::optional<listed_topic>>
list_topic(http_caller& caller, std::string topic, milliseconds answer_time);

} // namespace daleshelf
