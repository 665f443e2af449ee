/// @file
/// A keeper's view of the slots of brittle upstreams.
#pragma once

#include "slot_use.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstdint>
#include <deque>
#include <vector>

namespace daleshelf
{

/// Grants the slots of upstreams that crash when they reject many requests, so
/// that the hosts together send no more than the upstream runs at once. The
/// state is soft: each host reports its use, which expires unless it is
/// repeated. A keeper that has just learned of an upstream grants nothing until
/// all hosts had time to report. Rejections that occur all the same (the
/// upstream may be used by others) lower what is granted. Does no I/O. See
/// docs/design/brittle-upstreams.md.
class slot_ledger
{
public:
    /// The sender of a report, and its position among the sender's messages.
    struct report_source
    {
        host_id host;
        incarnation host_incarnation;
        std::int64_t sequence = 0;
    };

    /// Replaces a host's use of an upstream, unless the report is older than
    /// the known one.
    void report(const report_source& source, const slot_use& use,
                absl::Time now);

    /// Applies the report, and takes one more slot for the host. Slots of
    /// upstreams that no host has reported to be brittle are always granted.
    /// @param is_complete whether the use by all hosts is known, so that the
    /// ledger need not wait for reports
    /// @return whether the slot is granted
    [[nodiscard]] bool take(const report_source& source, const slot_use& use,
                            bool is_complete, absl::Time now);

    /// Drops the upstreams of which nothing was heard for a while.
    void evict_expired(absl::Time now);

    /// @return the slots in use at an upstream, as far as known
    [[nodiscard]] std::int64_t in_use(const upstream_id& server,
                                      absl::Time now) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_upstreams.size();
    }

private:
    /// The use by one host.
    struct holder
    {
        incarnation host_incarnation;
        std::int64_t sequence = 0;
        std::int64_t in_flight = 0;
        std::int64_t rejected = 0;
        absl::Time reported_at;
        /// Sequences of requests whose grants `in_flight` does not contain yet.
        std::vector<std::int64_t> unsettled;
    };

    struct upstream_state
    {
        upstream_incarnation server;
        double rejection_limit = 0; ///< rejections a second
        absl::Time known_since;
        absl::Time reported_at;
        absl::flat_hash_map<host_id, holder> holders;
        std::deque<absl::Time> rejections;             ///< recent ones
        std::int64_t withheld_slots = 0;               ///< after rejections
        absl::Time adjusted_at = absl::InfinitePast(); ///< withheld_slots
    };

    upstream_state* find_current(const slot_use& use, absl::Time now);
    [[nodiscard]] static std::int64_t in_use(const upstream_state& state,
                                             absl::Time now);
    static void record_rejections(upstream_state& state, std::int64_t count,
                                  absl::Time now);
    static void recover_slots(upstream_state& state, absl::Time now);
    [[nodiscard]] static bool may_reject(upstream_state& state, absl::Time now);
    holder* apply(upstream_state& state, const report_source& source,
                  const slot_use& use, absl::Time now);

    absl::flat_hash_map<upstream_id, upstream_state> m_upstreams;
};

} // namespace daleshelf
