#include "host_list.hpp"

#include "topic_list.hpp"

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <base/text.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds store_timeout{1500};
// The store's outages last either seconds or long; attempts are frequent only
// at first.
constexpr int max_quick_attempts = 20;
constexpr milliseconds quick_publish_pause{700};
constexpr milliseconds publish_pause{5000};
// All hosts of a fleet that starts are in the list after this time: they start
// within 0.3 s of one another.
constexpr milliseconds fleet_start_time{1500};

} // namespace

host_list::host_list(gateway_state& state, host_callback on_host)
    : m_state(state), m_on_host(std::move(on_host))
{
}

// Adds this host's address to the store's list and reads those of the other
// hosts. If the list already contains this host at its address, an earlier
// incarnation has added it, and the other hosts count this host already.
// Otherwise the hosts that were added since are read once this host was added,
// and, in a fleet that starts, the other hosts were.
awaitable<void> host_list::publish_self()
{
    http_caller caller(m_state.context, m_state.settings.store_address);
    std::optional<own_record> first;
    bool is_published = false;
    for (int attempt = 0;; ++attempt)
    {
        if (!first)
        {
            first = co_await list_hosts(caller);
        }
        if (first && first->is_current)
        {
            finish(true);
            co_return;
        }
        if (first && !is_published)
        {
            is_published = co_await add_self(caller);
        }
        if (is_published)
        {
            if (!first->is_listed)
            {
                // Waits until hosts that start at the same time are listed.
                boot_timer start(m_state.context, fleet_start_time);
                co_await start.async_wait(use_result);
            }
            const bool is_read = co_await read_added(caller);
            if (is_read)
            {
                finish(first->is_listed);
                co_return;
            }
        }
        boot_timer timer(m_state.context, attempt < max_quick_attempts
                                              ? quick_publish_pause
                                              : publish_pause);
        co_await timer.async_wait(use_result);
    }
}

void host_list::finish(bool was_listed)
{
    m_state.quota.shared().record_fleet_discovery(was_listed,
                                                  gateway_state::now());
    m_state.origins.record_discovery(was_listed);
    m_state.knows_hosts = true;
}

std::string host_list::own_value() const
{
    return concat(m_state.settings.peers_address, " ", m_state.hall.value());
}

// @return whether the store has accepted the record
awaitable<bool> host_list::add_self(http_caller& caller)
{
    auto append = platform::append_call(
        platform::machine_topic,
        {platform::encode_keyed(m_state.self.value(), own_value())},
        std::nullopt);
    const auto response =
        co_await caller.call(std::move(append), store_timeout);
    co_return response && response->status == http_status::ok;
}

// @return this host's record in the list; nothing if the list could not be read
awaitable<std::optional<host_list::own_record>>
host_list::list_hosts(http_caller& caller)
{
    const auto listed = co_await list_topic(
        caller, std::string(platform::machine_topic), store_timeout);
    if (!listed)
    {
        co_return std::nullopt;
    }
    own_record own;
    for (const auto& record : listed->records)
    {
        if (record.key == m_state.self.value())
        {
            own = {true, record.value == own_value()};
        }
        add_listed(record);
    }
    m_list_end = listed->end;
    m_state.has_listed_hosts = true;
    co_return own;
}

// Reads the hosts that were added after the list. In a fleet that starts these
// are nearly all: the records of the log are a third of the size of their list.
// @return whether all were read
awaitable<bool> host_list::read_added(http_caller& caller)
{
    while (true)
    {
        auto call = platform::read_call(platform::machine_topic, m_list_end,
                                        milliseconds(0));
        const auto response =
            co_await caller.call(std::move(call), store_timeout);
        if (response && response->status == http_status::gone)
        {
            const auto listed = co_await list_hosts(caller);
            co_return listed.has_value();
        }
        if (!response || response->status != http_status::ok)
        {
            co_return false;
        }
        try
        {
            const auto page = platform::read_page(response->body);
            for (const auto& content : page.records)
            {
                add_listed(platform::decode_keyed(content, m_list_end));
                m_list_end = m_list_end.next();
            }
            if (page.records.empty() || m_list_end >= page.end)
            {
                co_return true;
            }
        }
        catch (const json_error&)
        {
            co_return false;
        }
    }
}

// A record's value is the host's address, a space and its hall.
void host_list::add_listed(const platform::keyed_record& record)
{
    const auto value = record.value.value_or("");
    const auto separator = value.find(' ');
    const auto hall = separator == std::string::npos
                          ? std::string()
                          : value.substr(separator + 1);
    const host_address host{host_id(record.key), value.substr(0, separator),
                            hall_id(hall)};
    const bool is_readable = !record.key.empty() && is_valid_utf8(record.key) &&
                             is_valid_utf8(hall) &&
                             parse_endpoint(host.address).has_value();
    if (!is_readable)
    {
        m_state.skipped.report(platform::machine_topic, record.key,
                               record.offset, "not a host's address and hall");
        return;
    }
    m_state.quota.shared().fleet().add_host(host.name, host.hall,
                                            gateway_state::now());
    m_on_host(host);
}

} // namespace daleshelf
