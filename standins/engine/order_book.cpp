#include "order_book.hpp"

#include <absl/time/clock.h>

#include <algorithm>
#include <base/json.hpp>
#include <standins/common/program.hpp>

namespace daleshelf::standin
{

order_book::order_book(fault_switch& faults, absl::Duration load_time)
    : m_faults(faults), m_load_time(load_time)
{
}

void order_book::add_model(const std::string& model, const std::string& version)
{
    absl::MutexLock lock(&m_mutex);
    m_models[model] = {version, {}, absl::Now()};
}

bool order_book::holds(const std::string& model)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_models.find(model);
    if (found != m_models.end())
    {
        return found->second.ready_at <= absl::Now();
    }
    return std::any_of(m_models.begin(), m_models.end(),
                       [&model](const auto& entry)
                       { return entry.second.adapters.contains(model); });
}

http_response order_book::order(const http_request& request)
{
    try
    {
        const auto fields = parse_object(request.body);
        const auto token = require_integer(fields, "fencing_token");
        const auto order = require_string(fields, "order");
        const bool is_checked = !m_faults.state().is_unchecked;
        absl::MutexLock lock(&m_mutex);
        const bool is_taken = !is_checked || token >= m_highest_token;
        m_history.push_back(boost::json::object{
            {"fencing_token", token}, {"order", order}, {"taken", is_taken}});
        if (!is_taken)
        {
            return json_response(
                409, boost::json::object{{"error", "stale fencing token"},
                                         {"highest", m_highest_token}});
        }
        m_highest_token = std::max(m_highest_token, token);
        carry_out(order, fields);
        return json_response(200, boost::json::object{{"taken", true}});
    }
    catch (const json_error& error)
    {
        return error_response(400, error.what());
    }
}

void order_book::carry_out(const std::string& order,
                           const boost::json::object& fields)
{
    if (order == "set_role")
    {
        m_role = require_string(fields, "role");
        return;
    }
    const auto model = require_string(fields, "model");
    if (order == "load_model")
    {
        const auto version = find_string(fields, "version").value_or("1");
        m_models[model] = {version, {}, absl::Now() + m_load_time};
        return;
    }
    if (order == "unload_model")
    {
        m_models.erase(model);
        return;
    }
    if (order == "load_adapter")
    {
        m_models[model].adapters.insert(require_string(fields, "adapter"));
        return;
    }
    throw json_error("'order' must be load_model, unload_model, load_adapter "
                     "or set_role");
}

http_response order_book::show()
{
    absl::MutexLock lock(&m_mutex);
    boost::json::array models;
    for (const auto& [name, held] : m_models)
    {
        boost::json::array adapters;
        for (const auto& adapter : held.adapters)
        {
            adapters.push_back(boost::json::string(adapter));
        }
        models.push_back(
            boost::json::object{{"model", name},
                                {"version", held.version},
                                {"adapters", adapters},
                                {"ready", held.ready_at <= absl::Now()}});
    }
    return json_response(200, boost::json::object{{"models", models},
                                                  {"role", m_role},
                                                  {"highest", m_highest_token},
                                                  {"history", m_history}});
}

} // namespace daleshelf::standin
