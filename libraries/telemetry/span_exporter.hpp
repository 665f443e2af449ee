/// @file
/// Spans and their export in OTLP/JSON.
#pragma once

#include "trace_context.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace daleshelf
{

class http_client;

/// One named value of a span.
struct span_attribute
{
    std::string name;
    std::string value;
};

/// One hop of a request.
struct span
{
    std::string name;
    trace_context context;
    std::string parent_span_id; ///< empty for a root
    absl::Time start;
    absl::Time end;
    std::vector<span_attribute> attributes;
};

/// @param service name of the program that made the spans
/// @param spans the spans
/// @return an ExportTraceServiceRequest in OTLP's JSON encoding
[[nodiscard]] std::string to_otlp_json(const std::string& service,
                                       const std::vector<span>& spans);

/// Sends spans to a collector in batches. Spans are dropped, and counted,
/// when the collector cannot keep up.
class span_exporter
{
public:
    /// @param service name of this program
    /// @param endpoint URL of the collector; empty: nothing is exported
    /// @param client sends the batches; must outlive this object
    span_exporter(std::string service, std::string endpoint,
                  http_client& client);
    span_exporter(const span_exporter&) = delete;
    span_exporter& operator=(const span_exporter&) = delete;
    ~span_exporter();

    /// Sends what waits and ends the thread; later spans are dropped.
    void stop();

    /// @param ended a span that has ended
    void add(span ended);

    /// @return how many spans were dropped
    [[nodiscard]] std::int64_t dropped() const;

private:
    void run();
    void send(const std::vector<span>& batch);

    std::string m_service;
    std::string m_endpoint;
    http_client& m_client;
    mutable absl::Mutex m_mutex;
    std::vector<span> m_waiting ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_dropped ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_is_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace daleshelf
