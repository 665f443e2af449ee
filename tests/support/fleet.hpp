/// @file
/// Entry hosts and stand-ins as real processes.
#pragma once

#include "child_process.hpp"
#include "temporary_folder.hpp"

#include <boost/json.hpp>

#include <http/http_client.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf::test
{

/// One entry host of a fleet.
struct fleet_host
{
    std::string id;
    std::string hall;
    std::string settings_file;
    std::string callers_url;
    std::string operators_url;
    std::string peers_address;
    std::unique_ptr<child_process> process;
};

/// A stand-in of a fleet.
struct fleet_standin
{
    std::string url;
    std::unique_ptr<child_process> process;
};

/// What a fleet's entry host is started with beyond the usual.
struct host_options
{
    std::string id;
    std::string hall;
    /// Further lines of the settings file; each a dotted key.
    std::vector<std::string> settings = {};
    std::uint16_t peers_port = 0; ///< 0: any free one
};

/// The processes of one test. Each fleet has an IP number of its own, so that
/// no two tests can meet on a port.
class fleet
{
public:
    static constexpr std::string_view operator_token = "operator-secret";

    fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    /// @param arguments further arguments of the stand-in
    void start_platform(const std::vector<std::string>& arguments = {});

    /// @param name its name, also as an upstream
    /// @param arguments further arguments of the stand-in
    /// @return its URL
    std::string start_engine(const std::string& name,
                             const std::vector<std::string>& arguments = {});

    /// @return its URL
    std::string start_service(const std::string& name);

    /// Starts an entry host, or starts one again with the same settings.
    fleet_host& start_host(const host_options& options);

    /// Starts one entry host a hall, `entry-<hall>`, that know each other, and
    /// waits until they do.
    void start_halls(const std::vector<std::string>& halls,
                     const std::vector<std::string>& settings = {});

    /// Starts an entry host again with the settings and ports that it had.
    fleet_host& restart_host(const std::string& id);

    [[nodiscard]] fleet_host& host(const std::string& id);
    [[nodiscard]] fleet_standin& standin(const std::string& name);

    /// @return URL of the platform
    [[nodiscard]] const std::string& platform_url() const;

    /// Switches faults of the platform.
    /// @param component log, hosts, cloud or weights
    void set_platform_fault(const std::string& component,
                            boost::json::object fields);

    /// Switches faults of an engine or service.
    void set_fault(const std::string& name, const boost::json::object& fields);

    /// Sends a request and waits for the answer.
    [[nodiscard]] http_response send(const std::string& method,
                                     const std::string& url,
                                     const std::string& body = "",
                                     std::vector<http_header> headers = {});

    /// Sends a request with the operators' token.
    [[nodiscard]] http_response operate(const std::string& host_id,
                                        const std::string& method,
                                        const std::string& path,
                                        const std::string& body = "");

    /// Puts resources through a host; fails the test unless accepted.
    /// @param resources what `daleshelf apply` takes
    void apply(const std::string& host_id, const boost::json::array& resources);

    /// Cuts two hosts off from each other, or joins them again.
    void set_cut(const std::string& one, const std::string& other, bool is_cut);

    /// @return a host's view of another: its state, or nothing
    [[nodiscard]] std::string state_of(const std::string& seen_by,
                                       const std::string& host_id);

    /// Waits until a host has applied all that the log holds.
    void wait_until_current(const std::string& host_id);

    [[nodiscard]] http_client& client()
    {
        return m_client;
    }

    [[nodiscard]] const std::string& address() const
    {
        return m_address;
    }

    /// @return a port that is free at this fleet's address, a different one
    /// each time
    [[nodiscard]] std::uint16_t free_port();

private:
    std::string log_file(const std::string& name) const;
    std::uint16_t pick_port() const;
    std::string start_standin(const std::string& name,
                              const std::string& program,
                              std::vector<std::string> arguments);

    temporary_folder m_folder;
    std::string m_address;
    std::set<std::uint16_t> m_picked_ports;
    std::string m_platform_url;
    std::map<std::string, fleet_standin> m_standins;
    std::map<std::string, fleet_host> m_hosts;
    http_client m_client;
};

/// @return a resource as `daleshelf apply` takes it
[[nodiscard]] boost::json::object make_resource(const std::string& kind,
                                                const std::string& name,
                                                boost::json::object body);

/// @return a workspace with one bearer key
[[nodiscard]] boost::json::object make_workspace(const std::string& name,
                                                 const std::string& key);

/// @return an engine that holds one model
[[nodiscard]] boost::json::object make_engine(const std::string& name,
                                              const std::string& hall,
                                              const std::string& url,
                                              const std::string& model);

} // namespace daleshelf::test
