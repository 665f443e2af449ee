/// @file
/// The duties that one gateway at a time has towards the platform.
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

/// How a call of the duties went.
struct duty_answer
{
    int status = 0;         ///< 0: no answer
    std::int64_t token = 0; ///< that it carried
};

/// Keeps the lease, settles each usage window in the log before it is
/// reported, and reports it as it was settled. See docs/design/platform.md.
class duty_service
{
public:
    duty_service(gateway_state& state, peer_exchange& peers);

    void start();

    /// Lets another machine take over as soon as no call is open.
    void stop()
    {
        m_ledger.stop();
        m_is_stopping = true;
    }

    /// Makes a call that only the holder may make. The lease is judged right
    /// before it.
    /// @param caller nobody else uses it meanwhile
    /// @return nothing if this machine does not hold the duties
    awaitable<std::optional<duty_answer>> call(http_caller& caller,
                                               platform::store_call call);

    /// @return the fencing token, while this machine holds the duties for at
    /// least as long as a call takes
    [[nodiscard]] std::optional<std::int64_t> token() const;

private:
    awaitable<void> keep_ledger();
    awaitable<void> collect_counts();
    void note_candidacy(bool is_watched);
    void note_releases();
    void release_if_due();
    [[nodiscard]] bool is_leaving() const;
    awaitable<void> report_usage();
    awaitable<bool> read(log_offset from);
    awaitable<void> append(ledger_append append);
    awaitable<void> report(std::int64_t window);
    [[nodiscard]] std::optional<ledger_append> next_settlement();
    [[nodiscard]] std::optional<std::int64_t> due_window() const;
    [[nodiscard]] std::int64_t running_window() const;
    [[nodiscard]] bool is_collected(std::int64_t window) const;
    [[nodiscard]] std::int64_t oldest_window() const;
    [[nodiscard]] milliseconds time_for_store() const;
    void note_lease();

    gateway_state& m_state;
    peer_exchange& m_peers;
    duty_ledger m_ledger;
    http_caller m_store;
    http_caller m_platform;
    async_event m_settled;
    std::set<std::int64_t> m_reported;
    count_collection m_collection{collection_options()};
    std::optional<std::int64_t> m_collecting; ///< the window that is asked for
    absl::Time m_collecting_since = absl::InfinitePast();
    std::int64_t m_newest_empty = -1; ///< a window in which nothing began
    int m_open_calls = 0;
    absl::Time m_unanswered_at = absl::InfinitePast(); ///< a call of duties
    bool m_is_stopping = false;
    bool m_was_holder = false;
    absl::Time m_watched_at = absl::InfinitePast(); ///< the lease, by others
};

} // namespace daleshelf
