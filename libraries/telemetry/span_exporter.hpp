/// @file
/// Trace spans and their export in OTLP/JSON.
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

/// Name and value of one attribute of a span.
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
    std::string parent_span_id; ///< empty for a root span
    absl::Time start;
    absl::Time end;
    std::vector<span_attribute> attributes;
};

/// @param service name of the program that recorded the spans
/// @param spans the spans
/// @return an ExportTraceServiceRequest in the JSON encoding of OTLP
[[nodiscard]] std::string to_otlp_json(const std::string& service,
                                       const std::vector<span>& spans);

/// Sends spans to a collector in batches, on its own thread. Spans are dropped
/// and counted while the queue is full or if a batch cannot be sent.
class span_exporter
{
public:
    /// @param service name of this program
    /// @param endpoint URL of the collector; empty disables the export
    /// @param client sends the batches; must outlive this object
    span_exporter(std::string service, std::string endpoint,
                  http_client& client);
    span_exporter(const span_exporter&) = delete;
    span_exporter& operator=(const span_exporter&) = delete;
    ~span_exporter();

    /// Sends the pending spans and joins the thread; later spans are dropped.
    void stop();

    /// Queues a span for export.
    /// @param finished a span that has ended
    void add(span finished);

    /// @return number of spans dropped so far
    [[nodiscard]] std::int64_t dropped() const;

private:
    void run();
    void send(const std::vector<span>& batch);

    std::string m_service;
    std::string m_endpoint;
    http_client& m_client;
    mutable absl::Mutex m_mutex;
    std::vector<span> m_pending ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_dropped ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_is_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace daleshelf
