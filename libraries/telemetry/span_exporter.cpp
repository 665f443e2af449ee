#include "span_exporter.hpp"

#include <boost/json.hpp>

#include <http/http_client.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr std::size_t max_pending = 4096;
constexpr absl::Duration export_interval = absl::Milliseconds(500);
constexpr std::chrono::milliseconds export_timeout{1000};
constexpr int span_kind_server = 2;

boost::json::object attribute(const std::string& name, const std::string& value)
{
    return {{"key", name}, {"value", {{"stringValue", value}}}};
}

boost::json::object to_json(const span& item)
{
    boost::json::array attributes;
    for (const auto& entry : item.attributes)
    {
        attributes.push_back(attribute(entry.name, entry.value));
    }
    boost::json::object object{
        {"traceId", item.context.trace_id},
        {"spanId", item.context.span_id},
        {"name", item.name},
        {"kind", span_kind_server},
        {"startTimeUnixNano", std::to_string(absl::ToUnixNanos(item.start))},
        {"endTimeUnixNano", std::to_string(absl::ToUnixNanos(item.end))},
        {"attributes", std::move(attributes)},
    };
    if (!item.parent_span_id.empty())
    {
        object["parentSpanId"] = item.parent_span_id;
    }
    return object;
}

} // namespace

std::string to_otlp_json(const std::string& service,
                         const std::vector<span>& spans)
{
    boost::json::array items;
    for (const auto& item : spans)
    {
        items.push_back(to_json(item));
    }
    boost::json::object scope{{"scope", {{"name", "daleshelf"}}},
                              {"spans", std::move(items)}};
    boost::json::object resource{
        {"attributes", boost::json::array{attribute("service.name", service)}}};
    boost::json::object resource_spans{
        {"resource", std::move(resource)},
        {"scopeSpans", boost::json::array{std::move(scope)}}};
    boost::json::object request{
        {"resourceSpans", boost::json::array{std::move(resource_spans)}}};
    return boost::json::serialize(request);
}

span_exporter::span_exporter(std::string service, std::string endpoint,
                             http_client& client)
    : m_service(std::move(service))
    , m_endpoint(std::move(endpoint))
    , m_client(client)
{
    if (!m_endpoint.empty())
    {
        m_thread = std::thread([this] { run(); });
    }
}

span_exporter::~span_exporter()
{
    stop();
}

void span_exporter::stop()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_is_stopping = true;
    }
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void span_exporter::add(span finished)
{
    if (m_endpoint.empty())
    {
        return;
    }
    absl::MutexLock lock(&m_mutex);
    if (m_is_stopping || m_pending.size() >= max_pending)
    {
        ++m_dropped;
        return;
    }
    m_pending.push_back(std::move(finished));
}

std::int64_t span_exporter::dropped() const
{
    absl::MutexLock lock(&m_mutex);
    return m_dropped;
}

void span_exporter::run()
{
    bool is_stopping = false;
    while (!is_stopping)
    {
        std::vector<span> batch;
        {
            absl::MutexLock lock(&m_mutex);
            m_mutex.AwaitWithTimeout(absl::Condition(&m_is_stopping),
                                     export_interval);
            is_stopping = m_is_stopping;
            batch.swap(m_pending);
        }
        if (!batch.empty())
        {
            send(batch);
        }
    }
}

void span_exporter::send(const std::vector<span>& batch)
{
    http_client_request request;
    request.method = "POST";
    request.url = m_endpoint;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = to_otlp_json(m_service, batch);
    request.timeout = export_timeout;
    try
    {
        (void)m_client.fetch(std::move(request));
    }
    catch (const std::exception&)
    {
        absl::MutexLock lock(&m_mutex);
        m_dropped += static_cast<std::int64_t>(batch.size());
    }
}

} // namespace daleshelf
