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

constexpr milliseconds store_time{1500};
// A store that is down is back within seconds, or is down for long.
constexpr int most_quick_attempts = 20;
constexpr milliseconds quick_publish_pause{700};
constexpr milliseconds publish_pause{5000};
// Hosts of a fleet that starts are all in the list after this time: they start
// within 0.3 s of one another.
constexpr milliseconds fleet_start_time{1500};

} // namespace

host_list::host_list(gateway_state& state, finder found)
    : m_state(state), m_found(std::move(found))
{
}

// Learns from the store where the others are, and tells it where this host
// is. A list that holds this host is from before its start: the others count
// it already. The list that counts is read after this host was added, and, in
// a fleet that starts, after the others were.
awaitable<void> host_list::publish_self()
{
    http_caller caller(m_state.context, m_state.settings.store_address);
    bool is_read = false;
    bool was_listed = false;
    bool is_published = false;
    for (int attempt = 0;; ++attempt)
    {
        if (!is_read)
        {
            const auto listed = co_await list_hosts(caller);
            is_read = listed.has_value();
            was_listed = listed.value_or(false);
        }
        if (is_read && !is_published)
        {
            is_published = co_await add_self(caller);
        }
        if (is_published)
        {
            if (!was_listed)
            {
                // Others that start with this one are to be in the list too.
                boot_timer start(m_state.context, fleet_start_time);
                co_await start.async_wait(use_result);
            }
            const auto listed = co_await list_hosts(caller);
            if (listed)
            {
                m_state.quota.shared().record_fleet_discovery(
                    was_listed, gateway_state::now());
                m_state.knows_hosts = true;
                co_return;
            }
        }
        boot_timer timer(m_state.context, attempt < most_quick_attempts
                                              ? quick_publish_pause
                                              : publish_pause);
        co_await timer.async_wait(use_result);
    }
}

// @return whether the store has taken it
awaitable<bool> host_list::add_self(http_caller& caller)
{
    const auto value =
        concat(m_state.settings.peers_address, " ", m_state.hall.value());
    auto append = platform::append_call(
        platform::machine_topic,
        {platform::encode_keyed(m_state.self.value(), value)}, std::nullopt);
    const auto answer = co_await caller.call(std::move(append), store_time);
    co_return answer && answer->status == http_status::ok;
}

// @return whether this host is in the list; nothing if it was not read
awaitable<std::optional<bool>> host_list::list_hosts(http_caller& caller)
{
    const auto listed = co_await list_topic(
        caller, std::string(platform::machine_topic), store_time);
    if (!listed)
    {
        co_return std::nullopt;
    }
    bool is_listed = false;
    for (const auto& record : listed->records)
    {
        is_listed = is_listed || record.key == m_state.self.value();
        add_listed(record);
    }
    co_return is_listed;
}

// A record's value is the host's address, a blank and its hall.
void host_list::add_listed(const platform::keyed_record& record)
{
    const auto value = record.value.value_or("");
    const auto blank = value.find(' ');
    const auto hall =
        blank == std::string::npos ? std::string() : value.substr(blank + 1);
    const host_address host{host_id(record.key), value.substr(0, blank),
                            hall_id(hall)};
    m_state.quota.shared().fleet().add_host(host.name, host.hall,
                                            gateway_state::now());
    m_found(host);
}

} // namespace daleshelf
