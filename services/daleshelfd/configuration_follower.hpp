/// @file
/// Does what the configuration replica asks for.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <http/forward.hpp>
#include <map>
#include <memory>
#include <optional>
#include <platform/log_client.hpp>
#include <protocol/generated/peer.pb.h>
#include <random>
#include <resources/configuration_replica.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

class control_thread;
class node_state;
class peer_service;

/// How far a host has followed the log.
struct follower_status
{
    log_offset next;
    bool is_log_reachable = false;
    absl::Time last_contact = absl::InfinitePast();
    std::int64_t skipped_records = 0;
};

/// Where a change is in force.
struct change_coverage
{
    std::optional<change_outcome> outcome; ///< nothing: not known
    std::vector<host_id> in_force;
    std::vector<host_id> missing; ///< reachable hosts that lag
};

/// Follows the log, settles changes and publishes the configuration. All of
/// it runs on the control thread.
class configuration_follower
{
public:
    using change_handler = std::function<void(const change_outcome&)>;
    using lookup_handler =
        std::function<void(const std::optional<change_outcome>&)>;
    using coverage_handler = std::function<void(const change_coverage&)>;

    /// Follows from `start` on; all arguments must outlive this object.
    /// @param control runs all of this; stopped before this object goes
    /// @param node where the configuration is published
    /// @param log the platform's log
    /// @param peers the other entry hosts
    /// @param stream the stream that holds the configuration; its snapshots
    ///               are in the stream of that name with `-snapshots`
    configuration_follower(control_thread& control, node_state& node,
                           log_client& log, peer_service& peers,
                           std::string stream);
    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;

    /// Watches are ended.
    ~configuration_follower();

    /// Starts to follow.
    void start();

    /// Proposes a change; may be called from any thread.
    /// @param proposed the change
    /// @param on_outcome called once: with the outcome when it is settled,
    ///                   or with `pending` when that takes too long
    /// @param on_full called instead if no more proposals are taken
    void propose(change proposed, change_handler on_outcome,
                 std::function<void()> on_full);

    /// Looks up a change.
    /// @param on_found called with the outcome, or nothing if it is unknown
    void find_change(change_id id, lookup_handler on_found);

    /// Waits until all reachable hosts have applied a change.
    /// @param deadline when to answer with what is known by then
    void wait_for_change(change_id id, absl::Time deadline,
                         coverage_handler on_done);

    /// Streams events to an operator.
    /// @param from offset of the first event
    /// @param count ends the stream after so many events; 0: never
    /// @param exchange the operator
    void watch(log_offset from, std::int64_t count,
               std::shared_ptr<http_exchange> exchange);

    /// @param on_status called with the status
    void ask_status(std::function<void(const follower_status&)> on_status);

private:
    /// An operator that follows changes.
    struct watcher
    {
        std::shared_ptr<http_exchange> exchange;
        std::int64_t left = 0; ///< events still wanted; 0: no limit
        bool is_done = false;
    };

    void tick();
    void perform(const replica_actions& actions);
    void perform_one(const read_records& action);
    void perform_one(const read_snapshot& action);
    void perform_one(const append_record& action);
    void perform_one(const append_snapshot& action);
    void perform_one(const ask_peer& action);
    void perform_one(const state_changed& action);
    void perform_one(const change_settled& action);
    void perform_one(const replica_warning& action);
    void read_newest_snapshot(const log_read_result& end);
    void answer_peer(const std::string& address,
                     const protocol::RecordsRequest& request);
    void take_peer_records(const protocol::RecordsReply& reply);
    void end_wait(const change_id& id);
    void check_coverage(const change_id& id, absl::Time deadline,
                        const coverage_handler& on_done);
    void update_peers_next();
    static void send_event(watcher& target, const resource_event& event);
    void send_events(log_offset from);
    void end_watches();

    control_thread& m_control;
    node_state& m_node;
    log_client& m_log;
    peer_service& m_peers;
    std::string m_stream;
    std::string m_snapshot_stream;
    configuration_replica m_replica;
    std::mt19937_64 m_random;
    std::map<change_id, std::vector<change_handler>> m_waiting;
    std::vector<watcher> m_watchers;
};

} // namespace daleshelf
