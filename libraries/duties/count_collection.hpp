/// @file
/// Tracks which hosts have still to send their counts of a usage window; free
/// of I/O.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace daleshelf
{

/// Batch size and retry interval of a collection.
struct collection_options
{
    /// Hosts queried in one batch: 64 responses of at most 2.3 KB take 0.24 s
    /// on a link of 5 Mbit/s, and 1,000 hosts are queried within 4 s.
    std::size_t max_batch_size = 64;
    /// A host that has not responded is queried again after this time. A round
    /// trip between halls takes a few milliseconds; the rest allows for a host
    /// that has used up its share of a processor, and for two ticks.
    absl::Duration retry_interval = absl::Milliseconds(450);
};

/// Collects the counts of one usage window. The leaseholder queries every host
/// in batches after the window has ended. The wait grows with the size of the
/// fleet only by the time that the queries take. The caller bounds the wait for
/// hosts that do not respond.
class count_collection
{
public:
    explicit count_collection(const collection_options& options)
        : m_options(options)
    {
    }

    /// Starts the collection of a window. Discards the state of any other
    /// window.
    /// @param window number of the window
    void begin(std::int64_t window);

    /// Selects the hosts to query now and records the time of the query.
    /// @param hosts all hosts that may be running
    /// @param now monotonic time
    /// @return at most `max_batch_size` hosts
    [[nodiscard]] std::vector<host_id>
    take_due_hosts(const std::vector<host_id>& hosts, absl::Time now);

    /// Records that a host has sent its counts.
    /// @param window the window of the counts; ignored if it is another one
    /// @param host the host that sent them
    void on_counts_received(std::int64_t window, const host_id& host);

    /// @param hosts the hosts whose counts are required
    /// @return whether all of them have sent their counts
    [[nodiscard]] bool is_complete(const std::vector<host_id>& hosts) const;

private:
    collection_options m_options;
    std::int64_t m_window = -1;
    std::set<host_id> m_received;
    std::map<host_id, absl::Time> m_requested_at;
};

} // namespace daleshelf
