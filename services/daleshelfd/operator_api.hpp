/// @file
/// The HTTP API towards operators. See docs/API.md.
#pragma once

#include <functional>
#include <http/forward.hpp>
#include <memory>
#include <string>

namespace daleshelf
{

class configuration_follower;
class node_state;
class peer_service;

/// What operators may do.
struct operator_api_options
{
    std::string token_sha256;     ///< SHA-256 of the operators' bearer token
    bool has_test_faults = false; ///< whether hosts may be cut off by order
};

/// Answers operators and their tools.
class operator_api
{
public:
    /// @param node configuration and state; must outlive this object
    /// @param follower settles changes; must outlive this object
    /// @param peers the fleet; must outlive this object
    /// @param options what is allowed
    /// @param on_drain starts a planned stop; called once the response to the
    /// operator was sent
    operator_api(node_state& node, configuration_follower& follower,
                 peer_service& peers, operator_api_options options,
                 std::function<void()> on_drain);

    /// Answers one request.
    void handle(const std::shared_ptr<http_exchange>& exchange);

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    void dispatch(const exchange_ptr& exchange);
    bool is_authorized(const http_request& request) const;
    void list(const exchange_ptr& exchange, const std::string& kind);
    void get(const exchange_ptr& exchange, const std::string& kind,
             const std::string& name);
    void propose(const exchange_ptr& exchange);
    void get_change(const exchange_ptr& exchange, const std::string& id);
    void wait_for_change(const exchange_ptr& exchange, const std::string& id);
    void list_hosts(const exchange_ptr& exchange);
    void set_cut(const exchange_ptr& exchange);
    void watch(const exchange_ptr& exchange);
    void status(const exchange_ptr& exchange);
    void drain(const exchange_ptr& exchange);

    node_state& m_node;
    configuration_follower& m_follower;
    peer_service& m_peers;
    operator_api_options m_options;
    std::function<void()> m_on_drain;
};

} // namespace daleshelf
