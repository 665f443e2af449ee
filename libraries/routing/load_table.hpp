/// @file
/// What an entry host knows of the load of upstreams.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>

namespace daleshelf
{

/// What an engine reports of itself, with a lag.
struct load_report
{
    absl::Time as_of;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    bool is_leaving = false;
};

/// What is known of one upstream.
struct upstream_load
{
    std::int64_t in_flight = 0;         ///< from this entry host
    std::int64_t sent_since_report = 0; ///< and still in flight
    load_report report;
    bool is_leaving = false; ///< never taken back for an incarnation
    absl::Time failed_until = absl::InfinitePast();

    /// @return requests that are likely to be there now
    [[nodiscard]] std::int64_t estimate() const;
};

/// Loads of all upstreams; safe for many threads.
class load_table
{
public:
    /// @return what is known of the upstream
    [[nodiscard]] upstream_load load(const upstream_id& id) const;

    /// Counts a request in, if fewer than `limit` are likely to be there, those
    /// of other entry hosts included.
    /// @return whether it was counted
    bool try_begin(const upstream_id& id, std::int64_t limit);

    /// Counts a request in, whatever the limit says.
    void begin(const upstream_id& id);

    /// Counts a request out.
    void end(const upstream_id& id);

    /// Takes a report of the upstream.
    void set_report(const upstream_id& id, const load_report& report);

    /// Marks an upstream as leaving, for good.
    void set_leaving(const upstream_id& id);

    /// Keeps new work off an upstream for a while.
    void set_failed(const upstream_id& id, absl::Time until);

private:
    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<upstream_id, upstream_load>
        m_loads ABSL_GUARDED_BY(m_mutex);
};

} // namespace daleshelf
