/// @file
/// Client of the platform's append-only log service.
#pragma once

#include <base/identifiers.hpp>
#include <chrono>
#include <functional>
#include <http/forward.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

/// One record of a stream.
struct log_record
{
    log_offset offset;
    std::string data;
};

/// What became of an append.
struct log_append_result
{
    enum class outcome
    {
        appended, ///< the offset is known
        refused,  ///< certainly not appended
        unknown,  ///< may or may not have been appended
    };

    outcome state = outcome::unknown;
    log_offset offset;
    std::string message;
};

/// What a read has brought.
struct log_read_result
{
    enum class outcome
    {
        records,     ///< perhaps none
        trimmed,     ///< the offset asked for is older than what is kept
        unreachable, ///< no answer
    };

    outcome state = outcome::unreachable;
    log_offset first; ///< the oldest record kept
    log_offset next;  ///< the offset that the next append will get
    std::vector<log_record> records;
    std::string message;
};

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
