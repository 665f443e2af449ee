/// @file
/// The platform's host list and cloud API.
#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <boost/json.hpp>

#include <deque>
#include <http/forward.hpp>
#include <map>
#include <memory>
#include <standins/common/fault_switch.hpp>
#include <string>
#include <vector>

namespace daleshelf::standin
{

/// Serves `/hosts` and `/cloud/...`. See docs/STANDINS.md.
class host_service
{
public:
    /// @param list_faults faults of the host list
    /// @param cloud_faults faults of the cloud API
    host_service(fault_switch& list_faults, fault_switch& cloud_faults);

    /// Answers a request for the host list.
    void handle_hosts(const std::shared_ptr<http_exchange>& exchange);

    /// Answers a request whose path begins with `/cloud/`.
    void handle_cloud(const std::shared_ptr<http_exchange>& exchange);

private:
    struct host
    {
        std::string id;
        std::string hall;
        std::string machine_class;
        bool is_reclaimable = true;
        std::string state = "live"; ///< live, leaving or gone
        absl::Time leaves_at = absl::InfiniteFuture();
    };

    /// The host list as it stood at a time.
    struct list_version
    {
        absl::Time time;
        boost::json::array hosts;
    };

    struct price
    {
        std::string hall;
        std::string machine_class;
        bool is_reclaimable = true;
        double per_hour = 1;
    };

    http_response list_hosts();
    http_response put_host(const http_request& request);
    http_response start_host(const http_request& request);
    http_response find_started(const std::string& token);
    http_response reclaim(const http_request& request);
    http_response notices(const http_request& request);
    http_response set_price(const http_request& request);
    http_response list_prices();
    void record_list() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void expire_hosts() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    fault_switch& m_list_faults;
    fault_switch& m_cloud_faults;
    absl::Mutex m_mutex;
    std::map<std::string, host> m_hosts ABSL_GUARDED_BY(m_mutex);
    std::deque<list_version> m_lists ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::string> m_by_token ABSL_GUARDED_BY(m_mutex);
    std::vector<boost::json::object> m_notices ABSL_GUARDED_BY(m_mutex);
    std::vector<price> m_prices ABSL_GUARDED_BY(m_mutex);
    int m_last_host ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace daleshelf::standin
