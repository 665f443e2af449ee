/// @file
/// Stand-in for the platform: log service, host list, cloud API, weight store
/// and a collector of traces. See docs/STANDINS.md.
#include "host_service.hpp"
#include "log_service.hpp"
#include "weight_store.hpp"

#include <absl/strings/match.h>

#include <base/json.hpp>
#include <deque>
#include <http/http_exchange.hpp>
#include <standins/common/program.hpp>

namespace
{

using namespace daleshelf;
using namespace daleshelf::standin;

/// Keeps what programs export, for tests to read back.
class trace_collector
{
public:
    void handle(const std::shared_ptr<http_exchange>& exchange)
    {
        constexpr std::size_t kept_batches = 2000;
        absl::MutexLock lock(&m_mutex);
        if (exchange->request().method == "POST")
        {
            m_batches.push_back(exchange->request().body);
            if (m_batches.size() > kept_batches)
            {
                m_batches.pop_front();
            }
            exchange->respond(json_response(200, boost::json::object{}));
            return;
        }
        std::string body = "[";
        for (const auto& batch : m_batches)
        {
            body += (body.size() > 1 ? "," : "") + batch;
        }
        http_response response;
        response.body = body + "]";
        exchange->respond(std::move(response));
    }

private:
    absl::Mutex m_mutex;
    std::deque<std::string> m_batches ABSL_GUARDED_BY(m_mutex);
};

/// All services of the platform behind one address.
class platform
{
public:
    platform(const log_limits& limits, double weight_bytes_per_second)
        : m_log_faults(m_timers)
        , m_list_faults(m_timers)
        , m_cloud_faults(m_timers)
        , m_weight_faults(m_timers)
        , m_log(limits, m_timers, m_log_faults)
        , m_hosts(m_list_faults, m_cloud_faults)
        , m_weights(weight_bytes_per_second, m_timers, m_weight_faults)
    {
    }

    void handle(const std::shared_ptr<http_exchange>& exchange)
    {
        const auto& path = exchange->request().path;
        if (path == "/faults")
        {
            set_faults(exchange);
        }
        else if (absl::StartsWith(path, "/log/"))
        {
            m_log.handle(exchange);
        }
        else if (path == "/hosts")
        {
            m_hosts.handle_hosts(exchange);
        }
        else if (absl::StartsWith(path, "/cloud/"))
        {
            m_hosts.handle_cloud(exchange);
        }
        else if (absl::StartsWith(path, "/weights/"))
        {
            m_weights.handle(exchange);
        }
        else if (path == "/v1/traces")
        {
            m_traces.handle(exchange);
        }
        else
        {
            exchange->respond(error_response(404, "no such path"));
        }
    }

private:
    fault_switch* find_component(const std::string& name)
    {
        if (name == "log")
        {
            return &m_log_faults;
        }
        if (name == "hosts")
        {
            return &m_list_faults;
        }
        if (name == "cloud")
        {
            return &m_cloud_faults;
        }
        return name == "weights" ? &m_weight_faults : nullptr;
    }

    void set_faults(const std::shared_ptr<http_exchange>& exchange)
    {
        try
        {
            const auto fields = parse_object(exchange->request().body);
            auto* component =
                find_component(require_string(fields, "component"));
            if (component == nullptr)
            {
                throw json_error(
                    "'component' must be log, hosts, cloud or weights");
            }
            component->set(fields);
            exchange->respond(json_response(200, boost::json::object{}));
        }
        catch (const json_error& error)
        {
            exchange->respond(error_response(400, error.what()));
        }
    }

    timer_queue m_timers;
    fault_switch m_log_faults;
    fault_switch m_list_faults;
    fault_switch m_cloud_faults;
    fault_switch m_weight_faults;
    log_service m_log;
    host_service m_hosts;
    weight_store m_weights;
    trace_collector m_traces;
};

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    log_limits limits;
    double weight_rate = 0;
    options::options_description description("Stand-in for the platform");
    daleshelf::standin::add_common_options(description);
    auto add = description.add_options();
    add("appends-per-second",
        options::value(&limits.appends_per_second)
            ->default_value(limits.appends_per_second),
        "rate limit of the log");
    add("retained-records",
        options::value(&limits.retained_records)->default_value(1000000),
        "records kept of each stream");
    add("weight-bytes-per-second",
        options::value(&weight_rate)->default_value(1e9),
        "rate of the weight store");
    const auto values = read_command_line(argc, argv, description);
    platform service(limits, weight_rate);
    return serve(values,
                 [&service](const std::shared_ptr<http_exchange>& exchange)
                 { service.handle(exchange); });
}
