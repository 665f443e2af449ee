/// @file
/// Forward declarations of the telemetry package.
#pragma once

namespace daleshelf
{

class counter;
class distribution;
class gauge;
class metric_registry;
class name_batch;
class span_exporter;
enum class log_format;
enum class log_severity;
struct log_event;
struct log_field;
struct span;
struct trace_context;

} // namespace daleshelf
