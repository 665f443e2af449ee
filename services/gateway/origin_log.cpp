#include "origin_log.hpp"

#include "gateway_state.hpp"

#include <absl/cleanup/cleanup.h>

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <base/text.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

constexpr milliseconds check_interval{200};
constexpr milliseconds write_timeout{700};
constexpr milliseconds read_timeout{300};
// The clients of resumed streams wait meanwhile.
constexpr milliseconds max_read_time{500};
constexpr milliseconds min_read_interval{200};
// About 7 KB each.
constexpr std::size_t origins_per_record = 128;
constexpr std::size_t records_per_write = 16;
// Hosts that start at the same time would write at the same time.
constexpr double interval_spread = 0.1;
// Older records are skipped: few of their streams can still be resumed.
constexpr std::int64_t max_records = 4096;

std::vector<std::string> encode_records(const std::vector<timed_origin>& all)
{
    std::vector<std::string> records;
    for (std::size_t at = 0; at < all.size(); at += origins_per_record)
    {
        const auto end = std::min(all.size(), at + origins_per_record);
        origin_message message;
        message.origins.assign(all.begin() + static_cast<std::ptrdiff_t>(at),
                               all.begin() + static_cast<std::ptrdiff_t>(end));
        records.push_back(encode(message));
    }
    return records;
}

} // namespace

origin_log::origin_log(gateway_state& state)
    : m_state(state)
    , m_writer(state.context, state.settings.store_address)
    , m_reader(state.context, state.settings.store_address)
{
}

void origin_log::start()
{
    m_state.origins.set_log_reader([this] { return refresh(); });
    asio::co_spawn(
        m_state.context, [this] { return write_all(); }, asio::detached);
}

// With a single version, its streams need no origin. They are written once a
// second version is listed.
awaitable<void> origin_log::write_all()
{
    boot_timer timer(m_state.context);
    auto next_write = gateway_state::now() + write_interval();
    while (true)
    {
        timer.expires_after(check_interval);
        co_await timer.async_wait(use_result);
        const auto now = gateway_state::now();
        if (now < next_write || !m_state.origins.has_several_versions())
        {
            continue;
        }
        next_write = now + write_interval();
        co_await write_oldest();
    }
}

awaitable<void> origin_log::write_oldest()
{
    auto& unwritten = m_state.origins.unwritten();
    const auto taken_at = gateway_state::now();
    auto origins =
        unwritten.take(origins_per_record * records_per_write, taken_at);
    if (origins.empty())
    {
        co_return;
    }
    const bool is_written = co_await write(origins);
    if (!is_written)
    {
        unwritten.put_back(origins, taken_at);
    }
}

// A write without a response may have succeeded; a second copy changes nothing.
awaitable<bool> origin_log::write(std::vector<timed_origin> origins)
{
    auto call = platform::append_call(platform::origin_topic,
                                      encode_records(origins), std::nullopt);
    const auto response =
        co_await m_writer.call(std::move(call), write_timeout);
    const bool is_written = response && response->status == http_status::ok;
    if (!is_written && m_is_writable)
    {
        log(events::log_unreachable,
            {{"topic", std::string(platform::origin_topic)},
             {"status", std::to_string(response ? response->status : 0)}});
    }
    m_is_writable = is_written;
    co_return is_written;
}

absl::Duration origin_log::write_interval() const
{
    const auto interval =
        origin_write_interval(m_state.quota.shared().fleet_size());
    return interval * absl::Uniform(m_state.random, 1 - interval_spread, 1.0);
}

awaitable<void> origin_log::refresh()
{
    const auto started_at = monotonic::now();
    if (m_is_reading)
    {
        const auto read_ended =
            std::make_shared<async_event>(m_state.context.get_executor());
        m_waiting.push_back(read_ended);
        co_await read_ended->wait_until(started_at + max_read_time);
        co_return;
    }
    if (started_at - m_read_at < min_read_interval)
    {
        co_return;
    }
    m_is_reading = true;
    m_origins_read = 0;
    m_records_skipped = 0;
    const absl::Cleanup finish = [this] { finish_read(); };
    const bool has_succeeded = co_await read();
    log(events::stream_origins_read,
        {{"outcome", has_succeeded ? "complete" : "failed"},
         {"origins", std::to_string(m_origins_read)},
         {"skipped", std::to_string(m_records_skipped)},
         {"next", std::to_string(m_next.value())},
         {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                   monotonic::now() - started_at)
                                   .count())}});
}

void origin_log::finish_read()
{
    m_is_reading = false;
    m_read_at = monotonic::now();
    for (const auto& waiting : std::exchange(m_waiting, {}))
    {
        waiting->notify();
    }
}

// @return whether the end of the log was reached
awaitable<bool> origin_log::read()
{
    const auto until = monotonic::now() + max_read_time;
    while (monotonic::now() < until)
    {
        auto call = platform::read_call(platform::origin_topic, m_next,
                                        milliseconds(0));
        const auto response =
            co_await m_reader.call(std::move(call), read_timeout);
        if (!response)
        {
            co_return false;
        }
        try
        {
            if (response->status == http_status::gone)
            {
                m_next = platform::read_first_offset(response->body);
                continue;
            }
            if (response->status != http_status::ok)
            {
                co_return false;
            }
            const auto page = platform::read_page(response->body);
            if (page.end < m_next)
            {
                // The store has lost records.
                m_next = page.first;
                continue;
            }
            apply(page);
            if (page.records.empty() || m_next >= page.end)
            {
                co_return true;
            }
        }
        catch (const json_error&)
        {
            co_return false;
        }
    }
    co_return false;
}

void origin_log::apply(const platform::log_page& page)
{
    for (const auto& record : page.records)
    {
        m_next = m_next.next();
        const auto message = decode_origins(record);
        if (!message)
        {
            ++m_records_skipped;
            continue;
        }
        m_state.origins.keep(message->origins);
        m_origins_read += message->origins.size();
    }
    const log_offset newest(page.end.value() - max_records);
    m_next = std::max(m_next, newest);
}

} // namespace daleshelf
