/// @file
/// Models that an engine holds, changed by fenced orders.
#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <boost/json.hpp>

#include <http/http_message.hpp>
#include <map>
#include <set>
#include <standins/common/fault_switch.hpp>
#include <string>

namespace daleshelf::standin
{

/// Takes orders with a fencing token: one below the highest seen is refused,
/// unless the engine was told not to check.
class order_book
{
public:
    /// @param faults says whether tokens are checked
    /// @param load_time how long a load takes
    order_book(fault_switch& faults, absl::Duration load_time);

    /// Makes a model available at once, as at start.
    void add_model(const std::string& model, const std::string& version);

    /// @return whether the model is loaded and ready
    [[nodiscard]] bool holds(const std::string& model);

    /// Answers `POST /orders`.
    [[nodiscard]] http_response order(const http_request& request);

    /// Answers `GET /orders`: what was taken and refused, and what is held.
    [[nodiscard]] http_response show();

private:
    struct held_model
    {
        std::string version;
        std::set<std::string> adapters;
        absl::Time ready_at;
    };

    void carry_out(const std::string& order, const boost::json::object& fields)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    fault_switch& m_faults;
    absl::Duration m_load_time;
    absl::Mutex m_mutex;
    std::map<std::string, held_model> m_models ABSL_GUARDED_BY(m_mutex);
    std::string m_role ABSL_GUARDED_BY(m_mutex) = "mixed";
    std::int64_t m_highest_token ABSL_GUARDED_BY(m_mutex) = -1;
    boost::json::array m_history ABSL_GUARDED_BY(m_mutex);
};

} // namespace daleshelf::standin
