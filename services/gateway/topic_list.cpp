#include "topic_list.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <base/json.hpp>
#include <iterator>
#include <telemetry/log.hpp>

namespace daleshelf
{

awaitable<std::optional<listed_topic>> list_topic(http_caller& caller,
                                                  std::string topic,
                                                  milliseconds answer_time,
                                                  std::function<void()> on_page)
{
    listed_topic listed;
    std::string after;
    bool is_first = true;
    while (true)
    {
        auto call = platform::list_call(topic, after);
        const auto answer = co_await caller.call(std::move(call), answer_time);
        if (!answer || answer->status != http_status::ok)
        {
            co_return std::nullopt;
        }
        try
        {
            auto page = platform::read_newest(answer->body);
            listed.end = is_first ? page.end : listed.end;
            is_first = false;
            std::move(page.records.begin(), page.records.end(),
                      std::back_inserter(listed.records));
            listed.skipped += page.skipped;
            if (!page.has_more)
            {
                co_return listed;
            }
            if (page.last_key.empty() || page.last_key == after)
            {
                // No record of the page names where the next one begins.
                co_return std::nullopt;
            }
            on_page();
            after = page.last_key;
        }
        catch (const json_error& error)
        {
            log(events::record_skipped,
                {{"topic", topic}, {"error", error.what()}});
            co_return std::nullopt;
        }
    }
}

} // namespace daleshelf
