#include "host_service.hpp"

#include <absl/strings/numbers.h>
#include <absl/time/clock.h>

#include <base/json.hpp>
#include <functional>
#include <http/http_exchange.hpp>
#include <standins/common/program.hpp>
#include <utility>

namespace daleshelf::standin
{

namespace
{

constexpr std::int64_t default_notice_ms = 5000;

http_response
with_body(const http_request& request,
          const std::function<http_response(const boost::json::object&)>& call)
{
    try
    {
        return call(parse_object(request.body));
    }
    catch (const json_error& error)
    {
        return error_response(400, error.what());
    }
}

} // namespace

host_service::host_service(fault_switch& list_faults,
                           fault_switch& cloud_faults)
    : m_list_faults(list_faults), m_cloud_faults(cloud_faults)
{
}

void host_service::handle_hosts(const std::shared_ptr<http_exchange>& exchange)
{
    const auto call = [this, exchange]
    {
        const auto& request = exchange->request();
        return request.method == "POST" ? put_host(request) : list_hosts();
    };
    m_list_faults.run(exchange, call);
}

void host_service::handle_cloud(const std::shared_ptr<http_exchange>& exchange)
{
    const auto call = [this, exchange]
    {
        const auto& request = exchange->request();
        const bool is_post = request.method == "POST";
        if (request.path == "/cloud/hosts")
        {
            return is_post ? start_host(request)
                           : find_started(request.parameter("token"));
        }
        if (request.path == "/cloud/prices")
        {
            return is_post ? set_price(request) : list_prices();
        }
        if (request.path == "/cloud/notices")
        {
            return notices(request);
        }
        if (request.path == "/cloud/reclaims" && is_post)
        {
            return reclaim(request);
        }
        return error_response(404, "no such path");
    };
    m_cloud_faults.run(exchange, call);
}

void host_service::expire_hosts()
{
    bool is_changed = false;
    for (auto& [id, entry] : m_hosts)
    {
        if (entry.state == "leaving" && absl::Now() >= entry.leaves_at)
        {
            entry.state = "gone";
            is_changed = true;
        }
    }
    if (is_changed)
    {
        record_list();
    }
}

void host_service::record_list()
{
    constexpr std::size_t kept_versions = 1000;
    list_version version;
    version.time = absl::Now();
    for (const auto& [id, entry] : m_hosts)
    {
        if (entry.state == "gone")
        {
            continue;
        }
        version.hosts.push_back(
            boost::json::object{{"id", entry.id},
                                {"hall", entry.hall},
                                {"machine_class", entry.machine_class},
                                {"reclaimable", entry.is_reclaimable},
                                {"state", entry.state}});
    }
    m_lists.push_back(std::move(version));
    if (m_lists.size() > kept_versions)
    {
        m_lists.pop_front();
    }
}

http_response host_service::list_hosts()
{
    const auto lag = absl::Milliseconds(m_list_faults.state().lag_ms);
    absl::MutexLock lock(&m_mutex);
    expire_hosts();
    boost::json::array shown;
    for (const auto& version : m_lists)
    {
        if (version.time + lag <= absl::Now())
        {
            shown = version.hosts;
        }
    }
    return json_response(200, boost::json::object{{"hosts", shown}});
}

http_response host_service::put_host(const http_request& request)
{
    return with_body(
        request,
        [this](const boost::json::object& fields)
        {
            host added;
            added.id = require_string(fields, "id");
            added.hall = require_string(fields, "hall");
            added.machine_class =
                find_string(fields, "machine_class").value_or("standard");
            added.is_reclaimable =
                find_boolean(fields, "reclaimable").value_or(true);
            added.state = find_string(fields, "state").value_or("live");
            absl::MutexLock lock(&m_mutex);
            m_hosts[added.id] = added;
            record_list();
            return json_response(200, boost::json::object{{"id", added.id}});
        });
}

http_response host_service::start_host(const http_request& request)
{
    if (m_cloud_faults.take_refused_start())
    {
        return error_response(503, "no capacity");
    }
    return with_body(
        request,
        [this](const boost::json::object& fields)
        {
            const auto token = require_string(fields, "token");
            host added;
            added.hall = require_string(fields, "hall");
            added.machine_class =
                find_string(fields, "machine_class").value_or("standard");
            added.is_reclaimable =
                find_boolean(fields, "reclaimable").value_or(true);
            absl::MutexLock lock(&m_mutex);
            const auto known = m_by_token.find(token);
            if (known != m_by_token.end())
            {
                return json_response(
                    200, boost::json::object{{"id", known->second}});
            }
            added.id = "cloud-" + std::to_string(++m_last_host);
            m_by_token[token] = added.id;
            m_hosts[added.id] = added;
            record_list();
            return json_response(201, boost::json::object{{"id", added.id}});
        });
}

http_response host_service::find_started(const std::string& token)
{
    absl::MutexLock lock(&m_mutex);
    const auto known = m_by_token.find(token);
    if (known == m_by_token.end())
    {
        return error_response(404, "no host was started with this token");
    }
    return json_response(200, boost::json::object{{"id", known->second}});
}

http_response host_service::reclaim(const http_request& request)
{
    return with_body(
        request,
        [this](const boost::json::object& fields)
        {
            const auto hall = find_string(fields, "hall");
            const auto only = find_string(fields, "host");
            const auto notice =
                find_integer(fields, "notice_ms").value_or(default_notice_ms);
            absl::MutexLock lock(&m_mutex);
            std::int64_t count = 0;
            for (auto& [id, entry] : m_hosts)
            {
                const bool is_meant =
                    (hall && entry.hall == *hall) || (only && id == *only);
                if (!is_meant || !entry.is_reclaimable || entry.state == "gone")
                {
                    continue;
                }
                entry.state = "leaving";
                entry.leaves_at = absl::Now() + absl::Milliseconds(notice);
                m_notices.push_back(boost::json::object{
                    {"host", id},
                    {"hall", entry.hall},
                    {"leaves_at_ms", absl::ToUnixMillis(entry.leaves_at)}});
                ++count;
            }
            record_list();
            return json_response(200,
                                 boost::json::object{{"reclaimed", count}});
        });
}

http_response host_service::notices(const http_request& request)
{
    std::uint64_t from = 0;
    (void)absl::SimpleAtoi(request.parameter("from"), &from);
    absl::MutexLock lock(&m_mutex);
    expire_hosts();
    boost::json::array shown;
    for (auto i = from; i < m_notices.size(); ++i)
    {
        shown.push_back(m_notices[i]);
    }
    return json_response(200, boost::json::object{{"next", m_notices.size()},
                                                  {"notices", shown}});
}

http_response host_service::set_price(const http_request& request)
{
    return with_body(
        request,
        [this](const boost::json::object& fields)
        {
            price set;
            set.hall = require_string(fields, "hall");
            set.machine_class = require_string(fields, "machine_class");
            set.is_reclaimable =
                find_boolean(fields, "reclaimable").value_or(true);
            set.per_hour = find_number(fields, "per_hour").value_or(1);
            absl::MutexLock lock(&m_mutex);
            for (auto& known : m_prices)
            {
                if (known.hall == set.hall &&
                    known.machine_class == set.machine_class &&
                    known.is_reclaimable == set.is_reclaimable)
                {
                    known.per_hour = set.per_hour;
                    return json_response(200, boost::json::object{});
                }
            }
            m_prices.push_back(set);
            return json_response(200, boost::json::object{});
        });
}

http_response host_service::list_prices()
{
    absl::MutexLock lock(&m_mutex);
    boost::json::array shown;
    for (const auto& entry : m_prices)
    {
        shown.push_back(
            boost::json::object{{"hall", entry.hall},
                                {"machine_class", entry.machine_class},
                                {"reclaimable", entry.is_reclaimable},
                                {"per_hour", entry.per_hour}});
    }
    return json_response(200, boost::json::object{{"prices", shown}});
}

} // namespace daleshelf::standin
