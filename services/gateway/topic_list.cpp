#include "topic_list.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <base/json.hpp>
#include <iterator>
#include <telemetry/log.hpp>

namespace daleshelf
{

awaitable<bool> topic_listing::go_on(http_caller& caller,
                                     milliseconds page_time)
{
    while (!m_is_whole)
    {
        if (m_after.empty())
        {
            m_listed.asked_at = monotonic::now();
        }
        auto call = platform::list_call(m_topic, m_after);
        const auto answer = co_await caller.call(std::move(call), page_time);
        if (!answer || answer->status != http_status::ok)
        {
            co_return false;
        }
        try
        {
            const bool is_taken =
                take_page(platform::read_newest(answer->body));
            if (!is_taken)
            {
                co_return false;
            }
        }
        catch (const json_error& error)
        {
            log(events::record_skipped,
                {{"topic", m_topic}, {"error", error.what()}});
            co_return false;
        }
    }
    co_return true;
}

// @return whether the list can go on after the page
bool topic_listing::take_page(platform::newest_page page)
{
    const bool names_next = !page.last_key.empty() && page.last_key != m_after;
    if (page.has_more && !names_next)
    {
        // No record of it says where the next page begins.
        (void)take();
        return false;
    }
    if (m_after.empty())
    {
        m_listed.end = page.end;
    }
    m_listed.skipped += page.skipped;
    std::move(page.records.begin(), page.records.end(),
              std::back_inserter(m_listed.records));
    m_after = page.last_key;
    m_is_whole = !page.has_more;
    return true;
}

listed_topic topic_listing::take()
{
    m_after.clear();
    m_is_whole = false;
    return std::exchange(m_listed, {});
}

awaitable<std::optional<listed_topic>>
list_topic(http_caller& caller, std::string topic, milliseconds answer_time)
{
    topic_listing listing(std::move(topic));
    const bool is_whole = co_await listing.go_on(caller, answer_time);
    if (!is_whole)
    {
        co_return std::nullopt;
    }
    co_return listing.take();
}

} // namespace daleshelf
