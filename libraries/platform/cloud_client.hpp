/// @file
/// Client of the platform's cloud API.
#pragma once

#include <base/identifiers.hpp>
#include <functional>
#include <http/forward.hpp>
#include <string>

namespace daleshelf
{

/// A host that is asked for.
struct host_order
{
    std::string token; ///< names the order; a second one with it is the same
    hall_id hall;
    bool is_reclaimable = true;
};

/// What became of an order.
struct host_order_result
{
    enum class outcome
    {
        started,
        refused, ///< there is no capacity
        unknown, ///< no answer; it may have taken effect
        absent,  ///< a look-up found no such order
    };

    outcome what = outcome::unknown;
    host_id host; ///< if it was started
};

/// Orders hosts and looks orders up. Callbacks come on the HTTP client's
/// thread.
class cloud_client
{
public:
    using result_handler = std::function<void(const host_order_result&)>;

    /// @param client sends requests; must outlive this object
    /// @param base_url URL of the platform
    cloud_client(http_client& client, std::string base_url);

    /// Orders a host.
    void start_host(const host_order& order, result_handler on_done);

    /// Looks an order up by its token.
    void find_host(const std::string& token, result_handler on_done);

private:
    http_client& m_client;
    std::string m_base_url;
};

} // namespace daleshelf
