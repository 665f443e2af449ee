/// @file
/// Fenced orders to model engines. See docs/STANDINS.md for the protocol.
#pragma once

#include <base/identifiers.hpp>
#include <functional>
#include <http/forward.hpp>
#include <string>

namespace daleshelf
{

/// What an engine is told to do.
struct engine_order
{
    std::string order; ///< load_model or unload_model
    std::string model;
    log_offset token; ///< fencing token
};

/// What became of an order.
enum class order_outcome
{
    taken,
    stale,   ///< the engine has seen a higher token
    unknown, ///< no answer; it may have been taken
};

/// Gives orders and asks what came of them.
class order_client
{
public:
    /// @param client sends requests; must outlive this object
    explicit order_client(http_client& client);

    /// @param url of the engine
    /// @param order what to do; doing it twice does no harm
    /// @param on_done called once
    void give(const std::string& url, const engine_order& order,
              std::function<void(order_outcome)> on_done);

    /// @param url of the engine
    /// @param model a model
    /// @param on_done called once with whether the engine has it ready
    void ask_ready(const std::string& url, const std::string& model,
                   std::function<void(bool)> on_done);

private:
    http_client& m_client;
};

} // namespace daleshelf
