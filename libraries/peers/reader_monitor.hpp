/// @file
/// Detects readers of a hall that have stopped reporting; free of I/O.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstddef>
#include <map>
#include <vector>

namespace daleshelf
{

/// Suspects readers by the absence of their own reports, which all hosts of the
/// hall receive twice a second. States take a round through the fleet, so they
/// detect the loss of a reader later the larger the fleet is.
class reader_monitor
{
public:
    /// Records a report of a reader; it is no longer suspected.
    void record_report(const host_id& reader, absl::Time now);

    /// Suspects those of the chosen readers that have not reported in time.
    /// @param readers the readers of the hall without this host
    void update(const std::vector<host_id>& readers, absl::Time now);

    /// @return whether another host is to read in place of this one
    [[nodiscard]] bool is_suspected(const host_id& host, absl::Time now) const;

private:
    struct reader_state
    {
        absl::Time chosen_at = absl::InfinitePast();
        absl::Time reported_at = absl::InfinitePast();
        absl::Time suspected_until = absl::InfinitePast();
    };

    std::map<host_id, reader_state> m_readers;
};

/// @param position number of hosts of the hall that rank before this one
/// @return time without any report of a reader after which a host calls the
/// store itself. The hosts that call at the same time are bounded; the others
/// wait longer, since a store that all hosts call can serve none of them.
[[nodiscard]] absl::Duration store_fallback_delay(std::size_t position);

} // namespace daleshelf
