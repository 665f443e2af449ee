/// @file
/// Stand-in for a plain service: answers reads, counts writes. See
/// docs/STANDINS.md.
#include <absl/strings/match.h>

#include <base/digest.hpp>
#include <base/json.hpp>
#include <http/http_exchange.hpp>
#include <standins/common/fault_switch.hpp>
#include <standins/common/program.hpp>
#include <vector>

namespace
{

using namespace daleshelf;
using namespace daleshelf::standin;

/// One call that took effect.
struct execution
{
    std::string attempt;
    std::string request;
    std::string method;
    std::string path;
    std::string body;
};

/// A service whose writes must not repeat.
class plain_service
{
public:
    explicit plain_service(std::string name)
        : m_name(std::move(name)), m_faults(m_timers)
    {
    }

    void handle(const std::shared_ptr<http_exchange>& exchange)
    {
        const auto& path = exchange->request().path;
        if (path == "/standin/faults")
        {
            set_faults(exchange);
            return;
        }
        if (path == "/standin/received")
        {
            exchange->respond(received());
            return;
        }
        if (m_faults.state().is_leaving)
        {
            auto response =
                json_response(503, boost::json::object{{"error", "leaving"}});
            response.headers.push_back({"X-Request-Executed", "no"});
            exchange->respond(std::move(response));
            return;
        }
        m_faults.run(exchange,
                     [this, exchange] { return execute(exchange->request()); });
    }

private:
    void set_faults(const std::shared_ptr<http_exchange>& exchange)
    {
        try
        {
            m_faults.set(parse_object(exchange->request().body));
            exchange->respond(json_response(200, boost::json::object{}));
        }
        catch (const json_error& error)
        {
            exchange->respond(error_response(400, error.what()));
        }
    }

    http_response execute(const http_request& request)
    {
        std::size_t count = 0;
        {
            absl::MutexLock lock(&m_mutex);
            m_executions.push_back(
                {request.header("x-attempt-id"), request.header("x-request-id"),
                 request.method, request.path, request.body});
            count = m_executions.size();
        }
        if (request.method == "GET" || request.method == "HEAD")
        {
            return json_response(
                200,
                boost::json::object{{"path", request.path},
                                    {"checksum", sha256_hex(request.path)}});
        }
        return json_response(200, boost::json::object{{"service", m_name},
                                                      {"path", request.path},
                                                      {"execution", count}});
    }

    http_response received()
    {
        absl::MutexLock lock(&m_mutex);
        boost::json::array shown;
        for (const auto& entry : m_executions)
        {
            shown.push_back(boost::json::object{{"attempt", entry.attempt},
                                                {"request", entry.request},
                                                {"method", entry.method},
                                                {"path", entry.path},
                                                {"body", entry.body}});
        }
        return json_response(200, boost::json::object{{"received", shown}});
    }

    std::string m_name;
    timer_queue m_timers;
    fault_switch m_faults;
    absl::Mutex m_mutex;
    std::vector<execution> m_executions ABSL_GUARDED_BY(m_mutex);
};

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::string name;
    options::options_description description("Stand-in for a plain service");
    daleshelf::standin::add_common_options(description);
    description.add_options()("name",
                              options::value(&name)->default_value("service"),
                              "name given in answers");
    const auto values = read_command_line(argc, argv, description);
    plain_service service(name);
    return serve(values,
                 [&service](const std::shared_ptr<http_exchange>& exchange)
                 { service.handle(exchange); });
}
