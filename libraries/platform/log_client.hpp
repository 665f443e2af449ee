/// @file
/// Client of the platform's append-only log service.
#pragma once

#include <base/identifiers.hpp>
#include <base/log_page.hpp>
#include <chrono>
#include <functional>
#include <http/forward.hpp>
#include <string>

namespace daleshelf
{

/// Appends to and reads from the log's streams. Callbacks come on the HTTP
/// client's thread.
class log_client
{
public:
    /// @param client sends the requests; must outlive this object
    /// @param base_url URL of the platform
    log_client(http_client& client, std::string base_url);

    /// @param stream name of the stream
    /// @param data the record
    /// @param on_done called once with the outcome
    void append(const std::string& stream, const std::string& data,
                std::function<void(const log_append_result&)> on_done);

    /// @param stream name of the stream
    /// @param from first offset wanted
    /// @param wait how long the log may hold the answer back while there is
    ///             nothing at `from`
    /// @param on_done called once with what was read
    void read(const std::string& stream, log_offset from,
              std::chrono::milliseconds wait,
              std::function<void(log_read_result)> on_done);

private:
    std::string url(const std::string& stream) const;

    http_client& m_client;
    std::string m_base_url;
};

} // namespace daleshelf
