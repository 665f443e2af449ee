#include "log.hpp"

#include "bounded_writer.hpp"

#include <absl/time/time.h>
#include <boost/core/null_deleter.hpp>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <base/wall_clock.hpp>
#include <iostream>
#include <unistd.h>

namespace daleshelf
{

namespace
{

struct log_options
{
    std::string program = "daleshelf";
    log_format format = log_format::text;
    std::atomic<log_severity> min_severity = log_severity::warning;
};

log_options& options()
{
    static log_options instance;
    return instance;
}

/// Writes to standard output; blocks for a slow reader in `finish` only.
class bounded_backend : public boost::log::sinks::basic_formatted_sink_backend<
                            char, boost::log::sinks::synchronized_feeding>
{
public:
    bounded_backend() : m_writer(STDOUT_FILENO) {}

    void consume(const boost::log::record_view& /*record*/,
                 const std::string& line)
    {
        m_writer.add(line);
    }

    void finish()
    {
        constexpr std::chrono::milliseconds timeout{300};
        m_writer.finish(timeout);
    }

private:
    bounded_writer m_writer;
};

boost::shared_ptr<bounded_backend>& bounded_output()
{
    static boost::shared_ptr<bounded_backend> instance;
    return instance;
}

std::string to_json_line(const log_event& event,
                         const std::vector<log_field>& fields)
{
    boost::json::object line;
    line["time"] =
        absl::FormatTime(absl::RFC3339_full, wall_time(), absl::UTCTimeZone());
    line["severity"] = std::string(severity_name(event.severity));
    line["program"] = options().program;
    line["event"] = event.number;
    line["name"] = std::string(event.name);
    for (const auto& field : fields)
    {
        line[std::string(field.name)] = field.value;
    }
    return boost::json::serialize(line);
}

std::string to_text_line(const log_event& event,
                         const std::vector<log_field>& fields)
{
    std::string line =
        absl::FormatTime("%H:%M:%E3S", wall_time(), absl::UTCTimeZone());
    line += " " + std::string(severity_name(event.severity));
    line += " [" + std::to_string(event.number) + "] ";
    line += event.name;
    for (const auto& field : fields)
    {
        line += " " + std::string(field.name) + "=" + field.value;
    }
    return line;
}

} // namespace

void start_logging(const std::string& program, log_format format,
                   log_severity min_severity, log_output output)
{
    options().program = program;
    options().format = format;
    options().min_severity = min_severity;
    if (output == log_output::bounded_standard_output)
    {
        bounded_output() = boost::make_shared<bounded_backend>();
        using bounded_sink =
            boost::log::sinks::synchronous_sink<bounded_backend>;
        boost::log::core::get()->add_sink(
            boost::make_shared<bounded_sink>(bounded_output()));
        return;
    }
    using backend = boost::log::sinks::text_ostream_backend;
    auto stream = boost::make_shared<backend>();
    stream->add_stream(
        boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    stream->auto_flush(true);
    using frontend = boost::log::sinks::synchronous_sink<backend>;
    boost::log::core::get()->add_sink(boost::make_shared<frontend>(stream));
}

void finish_log()
{
    if (bounded_output())
    {
        bounded_output()->finish();
    }
}

void log(const log_event& event, const std::vector<log_field>& fields)
{
    if (event.severity < options().min_severity.load())
    {
        return;
    }
    thread_local boost::log::sources::logger logger;
    const auto line = options().format == log_format::json
                          ? to_json_line(event, fields)
                          : to_text_line(event, fields);
    BOOST_LOG(logger) << line;
}

} // namespace daleshelf
