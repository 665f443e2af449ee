/// @file
/// This host's share of the retry budget of each service.
#pragma once

#include <base/identifiers.hpp>
#include <map>

namespace daleshelf
{

/// The retry budget of the whole fleet.
struct retry_budget_options
{
    double ratio = 0.2; ///< retries per request
    double slack = 50;  ///< retries of the whole fleet beyond the ratio
    /// Number of hosts assumed until the fleet's size is known.
    double assumed_hosts = 12;
};

/// Token bucket per service: every request adds a fraction of a retry, every
/// retry takes one. The bucket's capacity is the slack divided by more hosts
/// than are known, so that the fleet stays within the budget without
/// coordination. A bucket starts with a single retry, since an earlier
/// incarnation of this host may have spent the share. See
/// docs/design/platform.md.
class retry_budget_share
{
public:
    explicit retry_budget_share(const retry_budget_options& options);

    /// Recomputes this host's share of the slack.
    /// @param hosts number of known hosts, including this one
    void set_hosts(std::size_t hosts);

    /// Credits the service's share for a first attempt.
    /// @param service the service of the request
    void count_request(const service_name& service);

    /// Takes one retry from the service's share.
    /// @return whether the share allowed it
    [[nodiscard]] bool try_take(const service_name& service);

    /// Puts back a retry that was taken and not made.
    void refund(const service_name& service);

private:
    double& balance(const service_name& service);

    double m_ratio;
    double m_slack;
    double m_max_balance;
    std::map<service_name, double> m_balances;
};

} // namespace daleshelf
