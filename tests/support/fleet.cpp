#include "fleet.hpp"

#include "waiting.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <arpa/inet.h>
#include <atomic>
#include <base/digest.hpp>
#include <base/json.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace daleshelf::test
{

namespace
{

constexpr std::chrono::milliseconds request_timeout{60000};

/// Loopback numbers by process and fleet: 127.16.0.0 and up.
std::string own_address()
{
    static std::atomic<int> fleets = 0;
    constexpr int octet = 250;
    constexpr int first_block = 16;
    constexpr int blocks = 200;
    const int pid = static_cast<int>(::getpid());
    const int number = ++fleets;
    return absl::StrCat("127.", first_block + pid / octet % blocks, ".",
                        pid % octet + 1, ".", number % octet + 1);
}

std::string field(const std::string& ready_text, const std::string& name)
{
    const std::vector<std::string> parts = absl::StrSplit(ready_text, ' ');
    for (const auto& part : parts)
    {
        const std::pair<std::string, std::string> pair =
            absl::StrSplit(part, absl::MaxSplits('=', 1));
        if (pair.first == name)
        {
            return pair.second;
        }
    }
    throw std::runtime_error("no " + name + " in: " + ready_text);
}

} // namespace

fleet::fleet() : m_address(own_address()) {}

fleet::~fleet()
{
    const bool is_log_wanted =
        std::getenv("DALESHELF_TEST_LOGS") != nullptr; // NOLINT
    if (!is_log_wanted)
    {
        return;
    }
    for (const auto& [id, host] : m_hosts)
    {
        std::cerr << "== " << id << "\n"
                  << std::ifstream(log_file(id)).rdbuf() << "\n";
    }
}

std::string fleet::log_file(const std::string& name) const
{
    return m_folder.path() + "/" + name + ".log";
}

// The system may pick a port again before the host that it is meant for
// listens.
std::uint16_t fleet::free_port()
{
    auto port = pick_port();
    while (!m_picked_ports.insert(port).second)
    {
        port = pick_port();
    }
    return port;
}

std::uint16_t fleet::pick_port() const
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, m_address.c_str(), &address.sin_addr);
    if (::bind(handle, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0)
    {
        throw std::runtime_error("no free port at " + m_address);
    }
    socklen_t length = sizeof(address);
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &length);
    ::close(handle);
    return ntohs(address.sin_port);
}

std::string fleet::start_standin(const std::string& name,
                                 const std::string& program,
                                 std::vector<std::string> arguments)
{
    arguments.insert(arguments.end(), {"--address", m_address});
    auto& entry = m_standins[name];
    entry.process = child_process::start(program, arguments, log_file(name));
    entry.url = "http://" + entry.process->ready_text();
    return entry.url;
}

void fleet::start_platform(const std::vector<std::string>& arguments)
{
    m_platform_url = start_standin("platform", "standin-platform", arguments);
}

std::string fleet::start_engine(const std::string& name,
                                const std::vector<std::string>& arguments)
{
    return start_standin(name, "standin-engine", arguments);
}

std::string fleet::start_service(const std::string& name)
{
    return start_standin(name, "standin-service", {"--name", name});
}

fleet_host& fleet::start_host(const host_options& options)
{
    std::vector<std::string> lines{
        "host.id = \"" + options.id + "\"",
        "host.hall = \"" + options.hall + "\"",
        "callers.address = \"" + m_address + "\"",
        absl::StrCat("callers.port = ", free_port()),
        "operators.address = \"" + m_address + "\"",
        absl::StrCat("operators.port = ", free_port()),
        "operators.token_sha256 = \"" +
            sha256_hex(std::string(operator_token)) + "\"",
        "peers.address = \"" + m_address + "\"",
        absl::StrCat("peers.port = ", options.peers_port == 0
                                          ? free_port()
                                          : options.peers_port),
        "platform.url = \"" + m_platform_url + "\"",
    };
    lines.insert(lines.end(), options.settings.begin(), options.settings.end());
    std::string text;
    for (const auto& line : lines)
    {
        text += line + "\n";
    }
    auto& entry = m_hosts[options.id];
    entry.id = options.id;
    entry.hall = options.hall;
    entry.settings_file = m_folder.write(options.id + ".toml", text);
    return restart_host(options.id);
}

void fleet::start_halls(const std::vector<std::string>& halls,
                        const std::vector<std::string>& settings)
{
    std::vector<host_options> all;
    std::string seeds;
    for (const auto& hall : halls)
    {
        all.push_back({"entry-" + hall, hall, settings, free_port()});
        absl::StrAppend(&seeds, seeds.empty() ? "" : ", ", "\"", m_address, ":",
                        all.back().peers_port, "\"");
    }
    for (auto& options : all)
    {
        options.settings.push_back("peers.seeds = [" + seeds + "]");
        options.settings.emplace_back("test.faults = true");
        start_host(options);
    }
    for (const auto& one : all)
    {
        for (const auto& other : all)
        {
            wait_until(
                [&] {
                    return one.id == other.id ||
                           state_of(one.id, other.id) == "alive";
                },
                one.id + " knows " + other.id);
        }
    }
}

std::string fleet::state_of(const std::string& seen_by,
                            const std::string& host_id)
{
    const auto answer = operate(seen_by, "GET", "/apis/v1/hosts");
    const auto body = parse_object(answer.body);
    for (const auto& entry : *find_array(body, "items"))
    {
        const auto& item = entry.as_object();
        if (require_string(item, "id") == host_id)
        {
            return require_string(item, "state");
        }
    }
    return "";
}

void fleet::set_cut(const std::string& one, const std::string& other,
                    bool is_cut)
{
    const auto cut = [&](const std::string& at, const std::string& from)
    {
        for (const auto* direction : {"incoming", "outgoing"})
        {
            (void)operate(at, "POST", "/apis/v1/faults",
                          boost::json::serialize(boost::json::object{
                              {"address", host(from).peers_address},
                              {"direction", direction},
                              {"cut", is_cut}}));
        }
    };
    cut(one, other);
    cut(other, one);
}

fleet_host& fleet::restart_host(const std::string& id)
{
    auto& entry = host(id);
    entry.process.reset();
    entry.process = child_process::start(
        "daleshelfd", {"--settings", entry.settings_file}, log_file(id));
    const auto& text = entry.process->ready_text();
    entry.callers_url = "http://" + field(text, "callers");
    entry.peers_address = field(text, "peers");
    entry.operators_url = "http://" + field(text, "operators");
    return entry;
}

fleet_host& fleet::host(const std::string& id)
{
    return m_hosts.at(id);
}

fleet_standin& fleet::standin(const std::string& name)
{
    return m_standins.at(name);
}

const std::string& fleet::platform_url() const
{
    return m_platform_url;
}

void fleet::set_platform_fault(const std::string& component,
                               boost::json::object fields)
{
    fields["component"] = component;
    (void)send("POST", m_platform_url + "/faults",
               boost::json::serialize(fields));
}

void fleet::set_fault(const std::string& name,
                      const boost::json::object& fields)
{
    (void)send("POST", standin(name).url + "/standin/faults",
               boost::json::serialize(fields));
}

http_response fleet::send(const std::string& method, const std::string& url,
                          const std::string& body,
                          std::vector<http_header> headers)
{
    http_client_request request;
    request.method = method;
    request.url = url;
    request.body = body;
    request.headers = std::move(headers);
    request.timeout = request_timeout;
    return m_client.fetch(std::move(request));
}

http_response fleet::operate(const std::string& host_id,
                             const std::string& method, const std::string& path,
                             const std::string& body)
{
    return send(method, host(host_id).operators_url + path, body,
                {{"Authorization", "Bearer " + std::string(operator_token)}});
}

void fleet::apply(const std::string& host_id,
                  const boost::json::array& resources)
{
    const boost::json::object change{{"id", random_hex(8)},
                                     {"operations", resources}};
    const auto response = operate(host_id, "POST", "/apis/v1/changes",
                                  boost::json::serialize(change));
    const auto state = require_string(parse_object(response.body), "state");
    if (state != "accepted")
    {
        throw std::runtime_error("not accepted: " + response.body);
    }
}

void fleet::wait_until_current(const std::string& host_id)
{
    const auto log = send(
        "GET", m_platform_url + "/log/daleshelf-configuration/records?max=0");
    const auto end = require_integer(parse_object(log.body), "next");
    wait_until(
        [&]
        {
            const auto status = operate(host_id, "GET", "/apis/v1/status");
            return require_integer(parse_object(status.body), "next") >= end;
        },
        host_id + " has applied all records");
}

boost::json::object make_resource(const std::string& kind,
                                  const std::string& name,
                                  boost::json::object body)
{
    return {{"kind", kind}, {"name", name}, {"body", std::move(body)}};
}

boost::json::object make_workspace(const std::string& name,
                                   const std::string& key)
{
    return make_resource(
        "workspace", name,
        {{"keys_sha256", boost::json::array{sha256_hex(key)}}});
}

boost::json::object make_engine(const std::string& name,
                                const std::string& hall, const std::string& url,
                                const std::string& model)
{
    return make_resource("upstream", name,
                         {{"type", "engine"},
                          {"url", url},
                          {"hall", hall},
                          {"models", boost::json::array{model}}});
}

} // namespace daleshelf::test
