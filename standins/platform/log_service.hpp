/// @file
/// The platform's append-only log: streams of records with offsets.
#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <base/timer_queue.hpp>
#include <deque>
#include <http/forward.hpp>
#include <map>
#include <memory>
#include <standins/common/fault_switch.hpp>
#include <string>
#include <vector>

namespace daleshelf::standin
{

/// Limits of the log.
struct log_limits
{
    /// As many as the platform's store takes at sites of 6 to 8 hosts.
    double appends_per_second = 400;
    std::size_t retained_records = 1000000; ///< of each stream
};

/// Serves `/log/{stream}/records`. See docs/STANDINS.md.
class log_service
{
public:
    log_service(const log_limits& limits, timer_queue& timers,
                fault_switch& faults);

    /// Answers a request whose path begins with `/log/`.
    void handle(const std::shared_ptr<http_exchange>& exchange);

private:
    struct stream
    {
        std::int64_t first = 0;
        std::deque<std::string> records;

        [[nodiscard]] std::int64_t next() const
        {
            return first + static_cast<std::int64_t>(records.size());
        }
    };

    /// A long-poll read that waits for records.
    struct waiting_read
    {
        std::shared_ptr<http_exchange> exchange;
        std::string stream_name;
        std::int64_t from = 0;
    };

    void append(const std::shared_ptr<http_exchange>& exchange,
                const std::string& stream_name);
    http_response append_record(const std::string& stream_name,
                                const http_request& request);
    void read(const std::shared_ptr<http_exchange>& exchange,
              const std::string& stream_name);
    http_response change_retention(const std::string& stream_name,
                                   const http_request& request);
    http_response records_response(const stream& source, std::int64_t from,
                                   std::int64_t most) const;
    bool take_append_token() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void answer_waiting(const std::string& stream_name);
    void end_wait(std::uint64_t id);

    log_limits m_limits;
    timer_queue& m_timers;
    fault_switch& m_faults;
    absl::Mutex m_mutex;
    std::map<std::string, stream> m_streams ABSL_GUARDED_BY(m_mutex);
    std::map<std::uint64_t, waiting_read> m_waiting ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_last_wait ABSL_GUARDED_BY(m_mutex) = 0;
    double m_tokens ABSL_GUARDED_BY(m_mutex);
    absl::Time m_refilled ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_appends ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_refusals ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace daleshelf::standin
