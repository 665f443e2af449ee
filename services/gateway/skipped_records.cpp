#include "skipped_records.hpp"

#include <absl/strings/escaping.h>

#include <base/text.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

// Keys and the text of other writers may be any bytes.
std::string escape(std::string_view text)
{
    return absl::CHexEscape(absl::string_view(text.data(), text.size()));
}

} // namespace

void skipped_records::report(std::string_view topic, std::string_view key,
                             log_offset offset, std::string_view error)
{
    ++m_total;
    m_batch.add(concat(topic, "/", escape(key)));
    m_newest = offset;
    m_error = escape(error);
}

void skipped_records::log_summary()
{
    if (m_batch.is_empty())
    {
        return;
    }
    log(events::record_skipped, {{"count", std::to_string(m_batch.count())},
                                 {"records", m_batch.names()},
                                 {"offset", std::to_string(m_newest.value())},
                                 {"error", m_error}});
    m_batch.clear();
}

} // namespace daleshelf
