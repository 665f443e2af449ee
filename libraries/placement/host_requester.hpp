/// @file
/// Asks for hosts that a hall is short of, free of I/O.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <optional>
#include <replay/backoff.hpp>
#include <string>

namespace daleshelf
{

/// Times of host requests.
struct host_request_options
{
    absl::Duration patience = absl::Seconds(2); ///< before the first request
    /// How long a started host may take until an upstream on it is declared.
    absl::Duration start_time = absl::Minutes(3);
    absl::Duration shortest_pause = absl::Seconds(2);
    absl::Duration longest_pause = absl::Seconds(60);
};

/// What is to be done next.
struct host_request_action
{
    enum class kind
    {
        order,   ///< order a host with the token
        look_up, ///< an order's answer was lost: look it up, do not repeat it
    };

    kind what = kind::order;
    std::string token;
    bool is_reclaimable = true;
};

/// One request at a time for a hall. Reclaimable hosts are cheaper and are
/// asked for first; when one is refused, the next is on demand.
class host_requester
{
public:
    /// @param hall the hall
    /// @param session makes tokens of this planner's time unique
    /// @param options times
    /// @param seed of the jitter
    host_requester(hall_id hall, std::string session,
                   const host_request_options& options, std::uint64_t seed);

    /// Called often.
    /// @param is_short whether the hall is short of upstreams now
    [[nodiscard]] std::optional<host_request_action> on_tick(bool is_short,
                                                             absl::Time now);

    /// The order was carried out, or the look-up found that it was.
    void on_started(absl::Time now);

    /// There is no capacity.
    void on_refused(absl::Time now);

    /// No answer came.
    void on_unknown(absl::Time now);

    /// The look-up found that the order never took effect.
    void on_absent(absl::Time now);

private:
    enum class state
    {
        idle,
        waiting_for_answer,
        in_doubt, ///< the answer to an order was lost
        starting, ///< a host is on its way
    };

    hall_id m_hall;
    std::string m_session;
    host_request_options m_options;
    backoff m_backoff;
    state m_state = state::idle;
    std::uint64_t m_orders = 0;
    bool m_is_reclaimable_refused = false;
    absl::Time m_short_since = absl::InfiniteFuture();
    absl::Time m_next = absl::InfinitePast();
};

} // namespace daleshelf
