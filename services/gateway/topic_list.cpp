#include "topic_list.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <base/json.hpp>
#include <iterator>
#include <telemetry/log.hpp>

namespace daleshelf
{

awaitable<bool> topic_listing::fetch_remaining(http_caller& caller,
                                               milliseconds page_timeout)
{
    while (!m_is_complete)
    {
        if (m_last_key.empty())
        {
            m_listed.requested_at = monotonic::now();
        }
        auto call = platform::list_call(m_topic, m_last_key);
        const auto response =
            co_await caller.call(std::move(call), page_timeout);
        if (!response || response->status != http_status::ok)
        {
            co_return false;
        }
        try
        {
            const bool is_added =
                add_page(platform::read_newest(response->body));
            if (!is_added)
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

// @return whether the list is complete or the next page can be requested
bool topic_listing::add_page(platform::newest_page page)
{
    const bool has_next_key =
        !page.last_key.empty() && page.last_key != m_last_key;
    if (page.has_more && !has_next_key)
    {
        // The page names no key from which the next page could continue.
        (void)take();
        return false;
    }
    if (m_last_key.empty())
    {
        m_listed.end = page.end;
    }
    m_listed.skipped += page.skipped;
    std::move(page.records.begin(), page.records.end(),
              std::back_inserter(m_listed.records));
    m_last_key = page.last_key;
    m_is_complete = !page.has_more;
    return true;
}

listed_topic topic_listing::take()
{
    m_last_key.clear();
    m_is_complete = false;
    return std::exchange(m_listed, {});
}

awaitable<std::optional<listed_topic>> list_topic(http_caller& caller,
                                                  std::string topic,
                                                  milliseconds response_timeout)
{
    topic_listing listing(std::move(topic));
    const bool is_complete =
        co_await listing.fetch_remaining(caller, response_timeout);
    if (!is_complete)
    {
        co_return std::nullopt;
    }
    co_return listing.take();
}

} // namespace daleshelf
