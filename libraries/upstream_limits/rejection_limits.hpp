/// @file
/// Upstreams that crash when they reject many requests.
#pragma once

#include "limit_table.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <optional>
#include <vector>

namespace daleshelf
{

/// Knows how many rejections a second upstreams advertise to tolerate. The
/// other upstreams of such a service are presumed to tolerate no more until a
/// response of theirs says otherwise: an upstream that has just restarted has
/// sent none yet. Does no I/O.
class rejection_limits
{
public:
    /// What a response to this host says about its upstream.
    struct upstream_response
    {
        upstream_incarnation server;
        service_name service;
        /// Rejections per second; nothing if the response advertises no limit.
        std::optional<double> per_second;
        absl::Time sent_at; ///< when the request was sent, monotonic
    };

    /// Records a response. One without a limit ends the known or presumed
    /// limit of its upstream.
    /// @param now monotonic time
    /// @param time_of_day time of day that the fleet agrees on
    /// @return whether the record of the upstream has changed
    bool record_response(const upstream_response& response, absl::Time now,
                         absl::Time time_of_day);

    /// Records that a listed upstream of a service has a limit, so that the
    /// service's other upstreams are presumed to have one.
    /// @param advertised_at time of day of the response that advertised it
    void mark_service(const service_name& service, double per_second,
                      absl::Time advertised_at, absl::Time now);

    /// @return the limit of an upstream, advertised or presumed, in rejections
    /// per second
    [[nodiscard]] std::optional<double>
    limit_of(const upstream_incarnation& server, const service_name& service,
             absl::Time now) const;

    /// @return whether the limits of a service have been known for so long that
    /// keepers know the requests in flight at its upstreams
    [[nodiscard]] bool is_introduced(const service_name& service,
                                     absl::Time now,
                                     absl::Time time_of_day) const;

    /// @return services of which an upstream has, or recently had, a limit
    [[nodiscard]] std::vector<service_name>
    marked_services(absl::Time now) const;

    /// @return the record of this incarnation, or null
    [[nodiscard]] const limit_record*
    find_current(const upstream_incarnation& server) const;

    /// @return the advertised limits, as hosts gossip them
    [[nodiscard]] limit_table& table()
    {
        return m_limits;
    }

    [[nodiscard]] const limit_table& table() const
    {
        return m_limits;
    }

private:
    /// A service some of whose upstreams have a limit.
    struct service_mark
    {
        double per_second = 0;
        absl::Time advertised_at; ///< time of day; the earliest known one
        absl::Time marked_at;     ///< monotonic
    };

    [[nodiscard]] const service_mark* find_mark(const service_name& service,
                                                absl::Time now) const;

    limit_table m_limits;
    absl::flat_hash_map<service_name, service_mark> m_services;
};

} // namespace daleshelf
