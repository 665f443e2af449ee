/// @file
/// Follows one topic with keys of the platform's store.
#pragma once

#include "async_event.hpp"
#include "gateway_state.hpp"
#include "http_call.hpp"
#include "topic_list.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace daleshelf
{

/// Who told of a record.
enum class record_origin
{
    store,
    reader, ///< a host that reads the store for the others of its hall
    peer,   ///< a host that was asked for all that it knows
};

/// What a follower tells of its topic.
struct topic_events
{
    /// One record, newer than all before of the same key.
    std::function<void(const platform::keyed_record&)> on_record;
    /// The records are complete: the list of keys that there are.
    std::function<void(const std::map<std::string, platform::keyed_record>&)>
        on_list;
    /// Records from an offset on, just read from the store; empty where nobody
    /// reads for others.
    std::function<void(log_offset, const std::vector<platform::keyed_record>&)>
        on_read = nullptr;
};

/// @return its name in the log
[[nodiscard]] std::string_view name_of(record_origin origin);

/// Lists the newest records, then waits for more from the first page's end
/// on. If records were dropped before they were read, it lists again. Nothing
/// it hands on is older than what it handed on before. See
/// docs/design/platform.md.
class topic_follower
{
public:
    topic_follower(gateway_state& state, std::string topic,
                   topic_events events);

    /// How long the store may hold a call that waits for changes, in any role.
    /// A connection that has died in silence, or whose answer was lost, shows
    /// only when such a call is over: TCP's own probes take three seconds. A
    /// host whose call hung for longer heard of no server that left.
    static constexpr milliseconds tail_wait{800};
    /// How long an answer may take beyond that.
    static constexpr milliseconds tail_answer_time{700};

    /// Follows until the process ends.
    awaitable<void> run();

    /// Takes newer records from a peer.
    /// @return how many were news
    std::size_t merge(const std::vector<platform::keyed_record>& records,
                      log_offset next);

    /// Takes what a peer has just read, if it follows on what is known; no
    /// records at all say that there are none after `from`.
    /// @return whether the store is asked for what was missed: the next words
    /// of the readers did not bring it
    bool take_read(log_offset from,
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

    /// @return whether a change would have been heard of by now
    [[nodiscard]] bool is_fresh() const;

    /// @return who told of the newest records
    [[nodiscard]] record_origin newest_origin() const
    {
        return m_origin;
    }

    /// @return a time as of which nothing of the topic is unknown here
    [[nodiscard]] monotonic::time_point known_at() const
    {
        return m_known_at;
    }

    /// @return whether the store has answered lately
    [[nodiscard]] bool is_reached() const;

    /// @return whether others read for this machine, and have said so lately
    [[nodiscard]] bool is_told() const;

    /// @return time since the store was last asked for changes
    [[nodiscard]] milliseconds asked_age() const;

    /// @return time since the store answered, in seconds
    [[nodiscard]] double answer_age_seconds() const;

private:
    awaitable<bool> list();
    awaitable<bool> tail();
    awaitable<void> wait_for_role();
    awaitable<void> wait_for_readers();
    bool has_missed(monotonic::time_point now);
    void take_page(log_offset from,
                   const std::vector<platform::keyed_record>& records);
    void apply_list(const std::map<std::string, platform::keyed_record>& listed,
                    log_offset next);
    void take(const platform::keyed_record& record);
    void note_answer(bool was_answered);
    void log_given_up() const;
    void note_skipped(log_offset offset);

    gateway_state& m_state;
    std::string m_topic;
    topic_listing m_listing;
    topic_events m_events;
    http_caller m_caller;
    async_event m_wake;
    std::map<std::string, platform::keyed_record> m_records;
    log_offset m_next;
    log_offset m_heard_end; ///< up to which readers have told of records
    record_origin m_origin = record_origin::store;
    bool m_has_listed = false;
    bool m_was_reached = false;
    bool m_is_tailing = false;
    int m_failures = 0;
    monotonic::time_point m_answered_at{};
    monotonic::time_point m_asked_at{};
    monotonic::time_point m_told_at{}; ///< by a peer that reads for others
    monotonic::time_point m_known_at{};
    /// Since when something is missing of what they told.
    std::optional<monotonic::time_point> m_gap_since;
};

} // namespace daleshelf
