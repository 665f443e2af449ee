/// @file
/// The HTTP API towards operators. See docs/API.md.
#pragma once

#include <functional>
#include <http/forward.hpp>
#include <memory>
#include <string>

namespace daleshelf
{

class control_loop;
class node_state;

/// Answers operators and their tools.
class operator_api
{
public:
    /// @param node configuration and state; must outlive this object
    /// @param control settles changes; must outlive this object
    /// @param token_sha256 SHA-256 of the operators' bearer token
    /// @param on_drain starts a planned stop
    operator_api(node_state& node, control_loop& control,
                 std::string token_sha256, std::function<void()> on_drain);

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
    void watch(const exchange_ptr& exchange);
    void status(const exchange_ptr& exchange);
    void drain(const exchange_ptr& exchange);

    node_state& m_node;
    control_loop& m_control;
    std::string m_token_sha256;
    std::function<void()> m_on_drain;
};

} // namespace daleshelf
