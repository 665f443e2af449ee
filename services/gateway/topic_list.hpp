/// @file
/// Paged listing of a keyed topic of the platform's store.
#pragma once

#include "http_call.hpp"

#include <optional>
#include <platform/store_calls.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

/// The newest record of each key. The pages are not a consistent snapshot:
/// records written between their responses are read from the log from `end` on.
struct listed_topic
{
    std::vector<platform::keyed_record> records;
    log_offset end; ///< end offset of the log at the first page
    monotonic::time_point requested_at{}; ///< when the first page was requested
    std::size_t skipped = 0;              ///< records that could not be read
};

/// A list that is fetched page by page. The pages received are kept when a
/// request fails, and the next attempt resumes after them: if hundreds of hosts
/// list at the same time, any page may exceed its timeout.
class topic_listing
{
public:
    explicit topic_listing(std::string topic) : m_topic(std::move(topic)) {}

    /// Requests the pages that are still missing.
    /// @param caller connection to the store; must not be used by others
    /// meanwhile
    /// @param page_timeout timeout of the request for each page
    /// @return whether the list is complete
    awaitable<bool> fetch_remaining(http_caller& caller,
                                    milliseconds page_timeout);

    /// @return the pages received so far; starts a new list
    [[nodiscard]] listed_topic take();

private:
    bool add_page(platform::newest_page page);

    std::string m_topic;
    listed_topic m_listed;
    std::string m_last_key; ///< the next page starts after this key
    bool m_is_complete = false;
};

/// Lists a topic in a single attempt.
/// @param caller connection to the store; must not be used by others meanwhile
/// @param topic name of the topic
/// @param response_timeout timeout of the request for each page
/// @return the list, or nothing if a page could not be read
awaitable<std::optional<listed_topic>>
list_topic(http_caller& caller, std::string topic,
           milliseconds response_timeout);

} // namespace daleshelf
