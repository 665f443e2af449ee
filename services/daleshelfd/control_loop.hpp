/// @file
/// The control thread: owns all control state.
#pragma once

#include <absl/time/time.h>

#include <base/mailbox.hpp>
#include <base/timer_queue.hpp>
#include <functional>
#include <http/forward.hpp>
#include <map>
#include <memory>
#include <optional>
#include <platform/log_client.hpp>
#include <resources/resource_store.hpp>
#include <string>
#include <thread>
#include <vector>

namespace daleshelf
{

class node_state;

/// What operators are told of a node.
struct control_status
{
    log_offset next;
    bool is_log_reachable = false;
    absl::Time last_contact = absl::InfinitePast();
    std::int64_t skipped_records = 0;
};

/// Follows the log, settles changes and publishes the configuration.
class control_loop
{
public:
    using change_handler = std::function<void(const change_outcome&)>;
    using lookup_handler =
        std::function<void(const std::optional<change_outcome>&)>;

    /// @param node where the configuration is published
    /// @param log the platform's log
    /// @param stream the stream that holds the configuration
    control_loop(node_state& node, log_client& log, std::string stream);
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Watches are ended.
    ~control_loop();

    /// Proposes a change; may be called from any thread.
    /// @param proposed the change
    /// @param on_outcome called once: with the outcome when it is settled,
    ///                   or with `pending` when that takes too long
    void propose(change proposed, change_handler on_outcome);

    /// Looks up a change.
    /// @param on_found called with the outcome, or nothing if it is unknown
    void find_change(change_id id, lookup_handler on_found);

    /// Streams events to an operator.
    /// @param from offset of the first event
    /// @param count ends the stream after so many events; 0: never
    /// @param exchange the operator
    void watch(log_offset from, std::int64_t count,
               std::shared_ptr<http_exchange> exchange);

    /// @param on_status called with the status
    void ask_status(std::function<void(const control_status&)> on_status);

private:
    /// A change proposed here whose outcome is not known yet.
    struct proposal
    {
        change proposed;
        std::vector<change_handler> waiting;
    };

    /// An operator that follows changes.
    struct watcher
    {
        std::shared_ptr<http_exchange> exchange;
        std::int64_t left = 0; ///< events still wanted; 0: no limit
        bool is_done = false;
    };

    static void send_event(watcher& target, const resource_event& event);
    void run();
    void post(std::function<void()> work);
    void start_read();
    void on_read(const log_read_result& result);
    void apply(const log_record& record);
    void publish();
    void append(const change& proposed);
    void on_appended(const change_id& id, const log_append_result& result);
    void append_again_later(const change_id& id);
    void end_wait(const change_id& id);
    void settle(const change_id& id, const change_outcome& outcome);
    void send_events(log_offset from);
    void set_reachable(bool is_reachable, const std::string& message);

    node_state& m_node;
    log_client& m_log;
    std::string m_stream;
    resource_store m_store;
    control_status m_status;
    std::map<change_id, proposal> m_proposals;
    std::vector<watcher> m_watchers;
    // Shared with callbacks that may come after this object is gone.
    std::shared_ptr<mailbox<std::function<void()>>> m_mailbox;
    timer_queue m_timers; // its functions post to the mailbox
    bool m_is_stopping = false;
    std::thread m_thread;
};

} // namespace daleshelf
