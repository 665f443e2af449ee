/// @file
/// This machine's share of the retries that a service may get.
#pragma once

#include <base/identifiers.hpp>
#include <map>

namespace daleshelf
{

/// The budget that all machines have in common.
struct retry_budget_options
{
    double ratio = 0.2; ///< retries against requests
    double slack = 50;  ///< retries beyond the ratio, of all machines
    /// Machines there may be before any is known.
    double assumed_machines = 12;
};

/// Every request adds a share of a retry; every retry takes one whole. The
/// slack is divided by every machine that there may be, some more than are
/// known, so that machines need not agree to keep the budget together; a
/// machine begins with little, since it may have used its share in an earlier
/// life. See docs/design/platform.md.
class retry_allowance
{
public:
    explicit retry_allowance(const retry_budget_options& options);

    /// Divides the slack anew.
    /// @param machines that are known, with this one
    void set_machines(std::size_t machines);

    /// @param service the service that a request is for
    void count_request(const service_name& service);

    /// @return whether a retry is allowed; it is counted then
    [[nodiscard]] bool try_take(const service_name& service);

private:
    double& level(const service_name& service);

    double m_ratio;
    double m_slack;
    double m_most;
    std::map<service_name, double> m_levels;
};

} // namespace daleshelf
