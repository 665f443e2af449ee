/// @file
/// HTTP interface of the stand-in engine.
#pragma once

#include "engine_core.hpp"
#include "engine_options.hpp"
#include "order_book.hpp"

#include <base/timer_queue.hpp>
#include <http/forward.hpp>
#include <memory>
#include <standins/common/fault_switch.hpp>
#include <string>
#include <vector>

namespace daleshelf::standin
{

/// Answers requests to one engine. See docs/STANDINS.md.
class engine_api
{
public:
    /// @param options speed and size
    /// @param models held from the start
    engine_api(const engine_options& options,
               const std::vector<std::string>& models);

    /// Answers one request.
    void handle(const std::shared_ptr<http_exchange>& exchange);

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;
    using method = void (engine_api::*)(const exchange_ptr&);

    /// One path and what answers it.
    struct route
    {
        std::string http_method;
        std::string prefix;
        method answer;
    };

    void generate(const exchange_ptr& exchange);
    void resume(const exchange_ptr& exchange);
    void cancel(const exchange_ptr& exchange);
    void export_kv(const exchange_ptr& exchange);
    void import_kv(const exchange_ptr& exchange);
    void show_load(const exchange_ptr& exchange);
    void show_cache_events(const exchange_ptr& exchange);
    void take_order(const exchange_ptr& exchange);
    void show_orders(const exchange_ptr& exchange);
    void set_faults(const exchange_ptr& exchange);
    void show_received(const exchange_ptr& exchange);
    void show_computed(const exchange_ptr& exchange);

    engine_options m_options;
    timer_queue m_timers;
    fault_switch m_faults;
    engine_core m_core;
    order_book m_orders;
    std::vector<route> m_routes;
};

} // namespace daleshelf::standin
