/// @file
/// The origins of streams in the platform's log.
#pragma once

#include "async_event.hpp"
#include "http_call.hpp"

#include <memory>
#include <platform/store_calls.hpp>
#include <streams/origin_message.hpp>
#include <vector>

namespace daleshelf
{

struct gateway_state;

/// Writes the origins of streams that begin at this host to the log, in
/// batches, and reads those of all hosts once a stream is resumed whose origin
/// no host knows: the hosts that kept it may all have died. See
/// docs/design/streams.md.
class origin_log
{
public:
    explicit origin_log(gateway_state& state);

    /// Starts the writer, and lets streams be resumed from the log.
    void start();

    /// Reads what was written since the last call. Calls at the same time share
    /// one read; after a failure the next ones return at once for a while.
    awaitable<void> refresh();

private:
    awaitable<void> write_all();
    awaitable<void> write_oldest();
    awaitable<bool> write(std::vector<timed_origin> origins);
    awaitable<bool> read();
    void finish_read();
    void apply(const platform::log_page& page);
    [[nodiscard]] absl::Duration write_interval() const;

    gateway_state& m_state;
    http_caller m_writer;
    http_caller m_reader;
    log_offset m_next; ///< offset of the first record that was not read
    bool m_is_reading = false;
    monotonic::time_point m_read_at{}; ///< when the last read ended
    std::vector<std::shared_ptr<async_event>> m_waiting;
    std::size_t m_origins_read = 0;    ///< by the current read
    std::size_t m_records_skipped = 0; ///< by it, as they cannot be decoded
    bool m_is_writable = true;
};

} // namespace daleshelf
