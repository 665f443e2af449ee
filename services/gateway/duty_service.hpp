/// @file
/// Duties towards the platform that one gateway performs at a time.
#pragma once

#include "gateway_state.hpp"
#include "http_call.hpp"
#include "peer_exchange.hpp"

#include <duties/count_collection.hpp>
#include <duties/duty_ledger.hpp>
#include <platform/duty_calls.hpp>
#include <set>

namespace daleshelf
{

/// Result of a call that requires the duty lease.
struct duty_response
{
    int status = 0;         ///< HTTP status; 0: no response
    std::int64_t token = 0; ///< fencing token that the call carried
};

/// Acquires and renews the duty lease, settles each usage window in the log
/// before reporting it, and reports the settled counts. See
/// docs/design/platform.md.
class duty_service
{
public:
    duty_service(gateway_state& state, peer_exchange& peers);

    void start();

    /// Releases the lease to another host as soon as no call is in flight.
    void stop()
    {
        m_ledger.stop();
        m_is_stopping = true;
    }

    /// Makes a call that is reserved for the lease holder. The lease is checked
    /// immediately before the call.
    /// @param caller must not be used concurrently
    /// @return the response; nothing if this host does not hold the lease
    awaitable<std::optional<duty_response>>
    call_as_holder(http_caller& caller, platform::store_call call);

    /// @return the fencing token if the lease is valid for at least the
    /// duration of a call
    [[nodiscard]] std::optional<std::int64_t> fencing_token() const;

private:
    awaitable<void> run_lease();
    awaitable<void> collect_counts();
    void update_candidacy(bool is_watched);
    void apply_peer_releases();
    void release_if_due();
    [[nodiscard]] bool is_releasing() const;
    awaitable<void> report_usage();
    awaitable<bool> read_log(log_offset from);
    awaitable<void> append(ledger_append append);
    awaitable<void> report(std::int64_t window);
    [[nodiscard]] std::optional<ledger_append> next_settlement();
    [[nodiscard]] std::optional<std::int64_t> due_window() const;
    [[nodiscard]] std::int64_t current_window() const;
    [[nodiscard]] bool is_collected(std::int64_t window) const;
    [[nodiscard]] std::int64_t oldest_due_window() const;
    [[nodiscard]] milliseconds store_call_timeout() const;
    void publish_lease();

    gateway_state& m_state;
    peer_exchange& m_peers;
    duty_ledger m_ledger;
    http_caller m_store;
    http_caller m_platform;
    async_event m_settled;
    std::set<std::int64_t> m_reported_windows;
    count_collection m_collection{collection_options()};
    /// Window whose counts are requested.
    std::optional<std::int64_t> m_requested_window;
    absl::Time m_collection_started_at = absl::InfinitePast();
    /// Newest due window without any counts.
    std::int64_t m_newest_empty_window = -1;
    int m_calls_in_flight = 0;
    /// When a duty call last ended without a response.
    absl::Time m_unanswered_call_at = absl::InfinitePast();
    bool m_is_stopping = false;
    bool m_was_holder = false;
    /// When other hosts were last known to watch the lease.
    absl::Time m_lease_watched_at = absl::InfinitePast();
};

} // namespace daleshelf
