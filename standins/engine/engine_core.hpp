/// @file
/// Continuous batching with a finite step time.
#pragma once

#include "engine_options.hpp"
#include "prefix_cache.hpp"
#include "sequence.hpp"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <deque>
#include <http/http_message.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace daleshelf::standin
{

/// Load of an engine at a time.
struct engine_load
{
    absl::Time time;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t cached_blocks = 0;
};

/// A block whose keys and values were computed.
struct computed_block
{
    absl::Time time;
    std::uint64_t block = 0;
    std::string attempt;
};

/// A request that reached the engine and what became of it.
struct received_request
{
    std::string attempt;
    std::string request;
    std::string state; ///< started, finished or cancelled
};

/// Runs sequences in steps on a thread of its own.
class engine_core
{
public:
    explicit engine_core(const engine_options& options);
    engine_core(const engine_core&) = delete;
    engine_core& operator=(const engine_core&) = delete;
    ~engine_core();

    /// Starts a sequence and streams it to the exchange.
    void start(generation_request request,
               const std::shared_ptr<http_exchange>& exchange);

    /// Streams a sequence from a position on; an earlier reader is ended.
    /// @return false if there is no such stream
    bool resume(const std::string& id, std::int64_t from,
                const std::shared_ptr<http_exchange>& exchange);

    /// @return false if there is no such stream
    bool cancel(const std::string& id);

    /// @return blocks of a stream's prompt and answer; empty if unknown
    [[nodiscard]] std::vector<std::uint64_t>
    export_blocks(const std::string& id);

    /// Takes blocks computed by another engine.
    void import_blocks(const std::vector<std::uint64_t>& blocks);

    /// @param lag how old the report is
    [[nodiscard]] engine_load load(absl::Duration lag);

    [[nodiscard]] std::vector<cache_event> cache_events(std::int64_t from);
    [[nodiscard]] std::vector<computed_block> computed_blocks();
    [[nodiscard]] std::vector<received_request> received();

private:
    using sequence_ptr = std::shared_ptr<sequence>;

    void run();
    void step();
    std::vector<sequence_ptr> choose_batch()
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void admit(sequence& item) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::int64_t prefill(sequence& item, std::int64_t budget)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void decode(sequence& item) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void finish(sequence& item, const std::string& state)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void end_abandoned() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void record_load() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void attach(const sequence_ptr& item,
                const std::shared_ptr<http_exchange>& exchange,
                std::int64_t from) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void send(sequence& item, std::int64_t position)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void send_end(sequence& item) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void detach(const std::string& id, const http_exchange* exchange);

    engine_options m_options;
    absl::Mutex m_mutex;
    prefix_cache m_cache ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, sequence_ptr> m_streams ABSL_GUARDED_BY(m_mutex);
    std::vector<sequence_ptr> m_active ABSL_GUARDED_BY(m_mutex);
    std::deque<std::pair<absl::Time, std::string>>
        m_finished ABSL_GUARDED_BY(m_mutex);
    std::deque<engine_load> m_loads ABSL_GUARDED_BY(m_mutex);
    std::vector<computed_block> m_computed ABSL_GUARDED_BY(m_mutex);
    std::vector<received_request> m_received ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::size_t>
        m_received_by_id ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_last_arrival ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_is_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::string m_name;
    std::thread m_thread;
};

} // namespace daleshelf::standin
