#include "log_service.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <base/json.hpp>
#include <http/http_exchange.hpp>
#include <standins/common/program.hpp>
#include <utility>

namespace daleshelf::standin
{

namespace
{

constexpr std::int64_t default_read_records = 1000;

std::int64_t number(const std::string& text, std::int64_t fallback)
{
    std::int64_t value = 0;
    return absl::SimpleAtoi(text, &value) ? value : fallback;
}

http_response too_old_response(std::int64_t first, std::int64_t next)
{
    return json_response(410, boost::json::object{{"error", "trimmed"},
                                                  {"first", first},
                                                  {"next", next}});
}

} // namespace

log_service::log_service(const log_limits& limits, timer_queue& timers,
                         fault_switch& faults)
    : m_limits(limits)
    , m_timers(timers)
    , m_faults(faults)
    , m_tokens(limits.appends_per_second)
    , m_refilled(absl::Now())
{
}

void log_service::handle(const std::shared_ptr<http_exchange>& exchange)
{
    const auto& request = exchange->request();
    const std::vector<std::string> parts = absl::StrSplit(request.path, '/');
    if (request.path == "/log/statistics")
    {
        absl::MutexLock lock(&m_mutex);
        exchange->respond(
            json_response(200, boost::json::object{{"appends", m_appends},
                                                   {"refusals", m_refusals}}));
        return;
    }
    constexpr std::size_t parts_of_records_path = 4;
    if (parts.size() != parts_of_records_path)
    {
        exchange->respond(error_response(404, "no such path"));
        return;
    }
    const auto& name = parts[2];
    if (parts[3] == "retention" && request.method == "POST")
    {
        exchange->respond(change_retention(name, request));
        return;
    }
    if (request.method == "POST")
    {
        append(exchange, name);
        return;
    }
    read(exchange, name);
}

bool log_service::take_append_token()
{
    const auto now = absl::Now();
    const double elapsed = absl::ToDoubleSeconds(now - m_refilled);
    m_refilled = now;
    m_tokens = std::min(m_limits.appends_per_second,
                        m_tokens + elapsed * m_limits.appends_per_second);
    if (m_tokens < 1)
    {
        ++m_refusals;
        return false;
    }
    m_tokens -= 1;
    ++m_appends;
    return true;
}

void log_service::append(const std::shared_ptr<http_exchange>& exchange,
                         const std::string& stream_name)
{
    m_faults.run(exchange, [this, exchange, stream_name]
                 { return append_record(stream_name, exchange->request()); });
}

http_response log_service::append_record(const std::string& stream_name,
                                         const http_request& request)
{
    std::int64_t offset = 0;
    try
    {
        const auto data = require_string(parse_object(request.body), "data");
        absl::MutexLock lock(&m_mutex);
        if (!take_append_token())
        {
            auto response = error_response(429, "too many appends");
            response.headers.push_back({"Retry-After", "1"});
            return response;
        }
        auto& target = m_streams[stream_name];
        offset = target.next();
        target.records.push_back(data);
        while (target.records.size() > m_limits.retained_records)
        {
            target.records.pop_front();
            ++target.first;
        }
    }
    catch (const json_error& error)
    {
        return error_response(400, error.what());
    }
    answer_waiting(stream_name);
    return json_response(200, boost::json::object{{"offset", offset}});
}

void log_service::read(const std::shared_ptr<http_exchange>& exchange,
                       const std::string& stream_name)
{
    m_faults.begin(
        exchange,
        [this, exchange, stream_name]
        {
            const auto& request = exchange->request();
            const auto from = number(request.parameter("from"), 0);
            const auto most =
                number(request.parameter("max"), default_read_records);
            const auto wait = number(request.parameter("wait_ms"), 0);
            absl::MutexLock lock(&m_mutex);
            const auto& source = m_streams[stream_name];
            if (from != source.next() || wait <= 0)
            {
                exchange->respond(records_response(source, from, most));
                return;
            }
            const auto id = ++m_last_wait;
            m_waiting[id] = {exchange, stream_name, from};
            m_timers.after(absl::Milliseconds(wait),
                           [this, id] { end_wait(id); });
        });
}

http_response log_service::records_response(const stream& source,
                                            std::int64_t from,
                                            std::int64_t most) const
{
    if (from < source.first)
    {
        return too_old_response(source.first, source.next());
    }
    boost::json::array records;
    const auto end = std::min(source.next(), from + most);
    for (auto offset = from; offset < end; ++offset)
    {
        const auto index = static_cast<std::size_t>(offset - source.first);
        records.push_back(boost::json::object{{"offset", offset},
                                              {"data", source.records[index]}});
    }
    return json_response(200, boost::json::object{{"first", source.first},
                                                  {"next", source.next()},
                                                  {"records", records}});
}

void log_service::end_wait(std::uint64_t id)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end())
    {
        return;
    }
    const auto wait = std::move(found->second);
    m_waiting.erase(found);
    wait.exchange->respond(records_response(m_streams[wait.stream_name],
                                            wait.from, default_read_records));
}

void log_service::answer_waiting(const std::string& stream_name)
{
    const auto faults = m_faults.state();
    if (faults.is_down || faults.is_hanging)
    {
        return; // an outage also holds back what was already asked
    }
    absl::MutexLock lock(&m_mutex);
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();)
    {
        if (entry->second.stream_name != stream_name)
        {
            ++entry;
            continue;
        }
        entry->second.exchange->respond(records_response(
            m_streams[stream_name], entry->second.from, default_read_records));
        entry = m_waiting.erase(entry);
    }
}

/// `POST /log/{stream}/retention`: `first` trims older records away, `next`
/// drops the newest ones, as a log restored from an older state would.
http_response log_service::change_retention(const std::string& stream_name,
                                            const http_request& request)
{
    try
    {
        const auto fields = parse_object(request.body);
        absl::MutexLock lock(&m_mutex);
        auto& target = m_streams[stream_name];
        const auto first = find_integer(fields, "first");
        while (first && target.first < *first && !target.records.empty())
        {
            target.records.pop_front();
            ++target.first;
        }
        const auto next = find_integer(fields, "next");
        while (next && target.next() > *next && !target.records.empty())
        {
            target.records.pop_back();
        }
        return json_response(200, boost::json::object{{"first", target.first},
                                                      {"next", target.next()}});
    }
    catch (const json_error& error)
    {
        return error_response(400, error.what());
    }
}

} // namespace daleshelf::standin
