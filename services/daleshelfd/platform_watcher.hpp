/// @file
/// Watches the platform's notices and host list, and the engines' load.
#pragma once

#include <absl/container/flat_hash_set.h>

#include <base/identifiers.hpp>
#include <base/timer_queue.hpp>
#include <functional>
#include <http/forward.hpp>
#include <optional>
#include <string>

namespace daleshelf
{

class node_state;
class request_service;

/// Learns which hosts leave and how loaded engines are.
class platform_watcher
{
public:
    /// @param node takes what is learned; must outlive this object
    /// @param client sends requests; must outlive this object
    /// @param platform_url URL of the platform
    /// @param on_news called with each host found to leave, to tell others
    /// @param on_upstream_leaving called when an upstream is known to leave,
    ///        with the time when it is gone
    /// @param on_self_leaving called when this host is to leave
    platform_watcher(
        node_state& node, http_client& client, std::string platform_url,
        std::function<void(const host_id&)> on_news,
        std::function<void(const upstream_id&, absl::Time)> on_upstream_leaving,
        std::function<void()> on_self_leaving);
    platform_watcher(const platform_watcher&) = delete;
    platform_watcher& operator=(const platform_watcher&) = delete;
    ~platform_watcher() = default;

    /// Reads the notices now.
    /// @param on_done called once they are known, if the platform answers
    void refresh(std::function<void()> on_done);

    /// A host is leaving, whoever said so.
    /// @param leaves_at when it is gone, if that is known
    void on_host_leaving(const host_id& host,
                         std::optional<absl::Time> leaves_at = {});

private:
    bool is_watching() const;
    void read_notices();
    void take_notices(const std::string& body);
    void read_hosts();
    void take_hosts(const std::string& body);
    void mark_leaving(const host_id& host, absl::Time leaves_at);
    void read_loads();
    void take_load(const upstream_id& id, const std::string& body);
    void get(const std::string& url,
             std::function<void(const std::string&)> on_body);

    node_state& m_node;
    http_client& m_client;
    std::string m_platform_url;
    std::function<void(const host_id&)> m_on_news;
    std::function<void(const upstream_id&, absl::Time)> m_on_upstream_leaving;
    std::function<void()> m_on_self_leaving;
    absl::Mutex m_mutex;
    absl::flat_hash_set<host_id> m_leaving ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_next_notice ABSL_GUARDED_BY(m_mutex) = 0;
    timer_queue m_timers;
};

} // namespace daleshelf
