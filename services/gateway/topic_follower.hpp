/// @file
/// Follower of one keyed topic of the platform's store.
#pragma once

#include "async_event.hpp"
#include "gateway_state.hpp"
#include "http_call.hpp"
#include "read_barrier.hpp"
#include "record_window.hpp"
#include "topic_list.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace daleshelf
{

/// The source that a record was received from.
enum class record_origin
{
    store,
    reader, ///< a host that reads the store for the other hosts of its hall
    peer,   ///< a host from which all known records were fetched
};

/// Callbacks by which a follower reports the changes of its topic.
struct topic_callbacks
{
    /// Called with a record that is newer than all before of the same key.
    std::function<void(const platform::keyed_record&)> on_record;
    /// Called with the newest record of each key once the list is complete.
    std::function<void(const std::map<std::string, platform::keyed_record>&)>
        on_list;
    /// Called with consecutive records just read from the store and the offset
    /// of the first; empty if the host does not share this topic.
    std::function<void(log_offset, const std::vector<platform::keyed_record>&)>
        on_read = nullptr;
    /// Fetches the first list, or records that readers have announced, from
    /// peers, and returns whether nothing is missing any more; empty if the
    /// host calls the store for them.
    std::function<awaitable<bool>()> catch_up = nullptr;
};

/// @return the name of the origin in the log
[[nodiscard]] std::string_view name_of(record_origin origin);

/// Lists the newest records of a topic, then reads its changes by long polls
/// that start at the end offset of the list's first page. Lists again if the
/// log dropped records before they were read. Never reports a record older than
/// one reported before for the same key. See docs/design/platform.md.
class topic_follower
{
public:
    topic_follower(gateway_state& state, std::string topic,
                   topic_callbacks callbacks);

    /// How long the store may hold a long poll, in any role. A connection that
    /// broke silently, or whose response was lost, is detected only when the
    /// poll times out: TCP's keep-alive probes take three seconds. A host whose
    /// poll hangs longer misses upstreams that leave.
    static constexpr milliseconds tail_wait{800};
    /// How long the response may take beyond that.
    static constexpr milliseconds tail_response_margin{700};

    /// Follows the topic until the process exits.
    awaitable<void> run();

    /// Reads the topic to its end. Long polls and reports of readers show less:
    /// a response that is lost, or was queued while this host was suspended,
    /// leaves it behind without any call having failed.
    /// @return whether all records written before this call are known
    awaitable<bool> confirm();

    /// Applies the complete list of records that a peer knows, unless the
    /// follower already knows all records before `next`.
    /// @param records the newest record of each key
    /// @param next offset up to which the peer knows all records
    /// @return number of records that were not known before
    std::size_t merge(const std::vector<platform::keyed_record>& records,
                      log_offset next);

    /// Applies records that a peer knows and this host may lack.
    /// @param from offset of the first record; not after the known records
    /// @param records consecutive records
    /// @return number of records that were not known before
    std::size_t append(log_offset from,
                       const std::vector<platform::keyed_record>& records);

    /// @return the consecutive records from an offset on, or nothing if they
    /// are no longer kept
    [[nodiscard]] std::optional<std::vector<platform::keyed_record>>
    records_since(log_offset from) const;

    /// Applies records that a reader of the hall has just read from the store,
    /// if they leave no gap after the known ones.
    /// @param from offset of the first record
    /// @param records consecutive records; empty if there are none from `from`
    /// on
    /// @param now the present time
    /// @return whether the store is called because the readers' later datagrams
    /// did not close a gap
    bool
    apply_shared_records(log_offset from,
                         const std::vector<platform::keyed_record>& records,
                         monotonic::time_point now);

    /// @return the offset up to which all records are known
    [[nodiscard]] log_offset next() const
    {
        return m_next;
    }

    /// @return the newest records, by key
    [[nodiscard]] const std::map<std::string, platform::keyed_record>&
    records() const
    {
        return m_records;
    }

    /// @return whether the complete list is known
    [[nodiscard]] bool has_listed() const
    {
        return m_has_listed;
    }

    /// @return whether readers have announced records that are not known
    [[nodiscard]] bool has_gap() const
    {
        return m_next < m_announced_end;
    }

    /// @return whether the store has confirmed recently that the records are up
    /// to date
    [[nodiscard]] bool is_fresh() const;

    /// @return where the newest records came from
    [[nodiscard]] record_origin newest_origin() const
    {
        return m_origin;
    }

    /// @return latest time up to which all records of the topic are known
    [[nodiscard]] monotonic::time_point complete_as_of() const
    {
        return m_complete_as_of;
    }

    /// @return whether the store has responded recently
    [[nodiscard]] bool is_store_reachable() const;

    /// @return whether readers of the hall read the topic for this host and
    /// have reported recently
    [[nodiscard]] bool is_served_by_readers() const;

    /// @return time since the last call for changes was sent to the store
    [[nodiscard]] milliseconds request_age() const;

    /// @return time since the last response of the store, in seconds
    [[nodiscard]] double response_age_seconds() const;

private:
    awaitable<bool> read();
    awaitable<bool> list();
    awaitable<bool> tail();
    awaitable<bool> read_to_end();
    awaitable<void> wait_for_role();
    awaitable<void> wait_while_readers_report();
    bool has_persistent_gap(monotonic::time_point now);
    void apply_page(log_offset from,
                    const std::vector<platform::keyed_record>& records);
    void apply_list(const std::map<std::string, platform::keyed_record>& listed,
                    log_offset next);
    void apply_record(const platform::keyed_record& record);
    void record_call_result(bool has_succeeded);
    void log_wait_timeout() const;
    void report_skipped(log_offset offset);

    gateway_state& m_state;
    std::string m_topic;
    topic_listing m_listing;
    topic_callbacks m_callbacks;
    http_caller m_caller;
    http_caller m_confirming_caller;
    read_barrier m_confirmations;
    async_event m_wake;
    std::map<std::string, platform::keyed_record> m_records;
    /// The newest consecutive records, which end at `m_next`.
    record_window m_newest;
    log_offset m_next;
    log_offset
        m_announced_end; ///< end of the records that readers have announced
    record_origin m_origin = record_origin::store;
    bool m_has_listed = false;
    bool m_was_reachable = false;
    bool m_is_tailing = false;
    bool m_is_behind = false; ///< a gap has lasted
    bool m_has_more = false;  ///< the last page ended before the end of the log
    int m_failures = 0;
    monotonic::time_point m_responded_at{};
    monotonic::time_point m_requested_at{};
    monotonic::time_point m_last_report_at{}; ///< of a reader of the hall
    monotonic::time_point m_complete_as_of{};
    /// When the current gap to the announced records was first seen.
    std::optional<monotonic::time_point> m_gap_since;
};

} // namespace daleshelf
