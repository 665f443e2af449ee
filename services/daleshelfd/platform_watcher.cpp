#include "platform_watcher.hpp"

#include "node_state.hpp"

#include <base/digest.hpp>
#include <base/http_status.hpp>
#include <base/json.hpp>
#include <http/http_client.hpp>
#include <memory>
#include <telemetry/log.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr absl::Duration notice_interval = absl::Milliseconds(500);
constexpr absl::Duration host_list_interval = absl::Seconds(2);
constexpr absl::Duration load_interval = absl::Milliseconds(500);
constexpr std::chrono::milliseconds read_timeout{1000};
constexpr std::size_t watchers_per_hall = 3;
// Who only hears that a host is leaving does not know when.
constexpr absl::Duration assumed_notice = absl::Seconds(2);

} // namespace

platform_watcher::platform_watcher(
    node_state& node, http_client& client, std::string platform_url,
    std::function<void(const host_id&)> on_news,
    std::function<void(const upstream_id&, absl::Time)> on_upstream_leaving,
    std::function<void()> on_self_leaving)
    : m_node(node)
    , m_client(client)
    , m_platform_url(std::move(platform_url))
    , m_on_news(std::move(on_news))
    , m_on_upstream_leaving(std::move(on_upstream_leaving))
    , m_on_self_leaving(std::move(on_self_leaving))
{
    read_notices();
    read_hosts();
    read_loads();
}

void platform_watcher::get(const std::string& url,
                           std::function<void(const std::string&)> on_body)
{
    http_client_request request;
    request.url = url;
    request.timeout = read_timeout;
    auto body = std::make_shared<std::string>();
    http_transfer_handlers handlers;
    handlers.on_body = [body](std::string_view piece) { *body += piece; };
    handlers.on_done =
        [body, take = std::move(on_body)](const http_transfer_result& result)
    {
        if (!result.is_complete() || result.status != http_status::ok)
        {
            return;
        }
        try
        {
            take(*body);
        }
        catch (const std::exception&)
        {
            // The next reading may be better; what is known stays.
        }
    };
    m_client.start(std::move(request), std::move(handlers));
}

void platform_watcher::refresh(std::function<void()> on_done)
{
    std::int64_t from = 0;
    {
        absl::MutexLock lock(&m_mutex);
        from = m_next_notice;
    }
    get(m_platform_url + "/cloud/notices?from=" + std::to_string(from),
        [this, done = std::move(on_done)](const std::string& body)
        {
            take_notices(body);
            done();
        });
}

/// In a large hall a few hosts read for all; the others hear from them by
/// gossip. While views differ some more read, which does no harm.
bool platform_watcher::is_watching() const
{
    const auto view = m_node.peers();
    const auto rank = [](const host_id& host)
    { return stable_hash(host.value()); };
    const auto own_rank = rank(m_node.host());
    std::size_t before = 0;
    for (const auto& [id, item] : view->members)
    {
        const bool is_before = item.hall == m_node.hall() &&
                               view->is_reachable(id) && !item.is_draining &&
                               rank(id) < own_rank;
        before += is_before ? 1 : 0;
    }
    return before < watchers_per_hall;
}

void platform_watcher::read_notices()
{
    m_timers.after(notice_interval, [this] { read_notices(); });
    if (!is_watching())
    {
        return;
    }
    std::int64_t from = 0;
    {
        absl::MutexLock lock(&m_mutex);
        from = m_next_notice;
    }
    get(m_platform_url + "/cloud/notices?from=" + std::to_string(from),
        [this](const std::string& body) { take_notices(body); });
}

void platform_watcher::take_notices(const std::string& body)
{
    const auto fields = parse_object(body);
    {
        absl::MutexLock lock(&m_mutex);
        m_next_notice = require_integer(fields, "next");
    }
    for (const auto& notice : *find_array(fields, "notices"))
    {
        const auto& fields_of_one = notice.as_object();
        on_host_leaving(host_id(require_string(fields_of_one, "host")),
                        absl::FromUnixMillis(
                            require_integer(fields_of_one, "leaves_at_ms")));
    }
}

void platform_watcher::read_hosts()
{
    m_timers.after(host_list_interval, [this] { read_hosts(); });
    if (!is_watching())
    {
        return;
    }
    get(m_platform_url + "/hosts",
        [this](const std::string& body) { take_hosts(body); });
}

void platform_watcher::take_hosts(const std::string& body)
{
    const auto fields = parse_object(body);
    for (const auto& entry : *find_array(fields, "hosts"))
    {
        const auto& host = entry.as_object();
        if (require_string(host, "state") == "leaving")
        {
            on_host_leaving(host_id(require_string(host, "id")));
        }
    }
}

void platform_watcher::on_host_leaving(const host_id& host,
                                       std::optional<absl::Time> leaves_at)
{
    {
        absl::MutexLock lock(&m_mutex);
        if (!m_leaving.insert(host).second)
        {
            return;
        }
    }
    m_on_news(host);
    if (host == m_node.host())
    {
        m_on_self_leaving();
        return;
    }
    mark_leaving(host, leaves_at.value_or(absl::Now() + assumed_notice));
}

/// NOTE: an upstream may be declared after its host was found to leave.
void platform_watcher::mark_leaving(const host_id& host, absl::Time leaves_at)
{
    const auto config = m_node.current_configuration();
    for (const auto& upstream : config->upstreams())
    {
        const bool is_news = upstream->host == host &&
                             !m_node.loads().load(upstream->id).is_leaving;
        if (!is_news)
        {
            continue;
        }
        log(events::upstream_leaving,
            {{"upstream", upstream->id.value()}, {"host", host.value()}});
        m_node.loads().set_leaving(upstream->id);
        m_on_upstream_leaving(upstream->id, leaves_at);
    }
}

void platform_watcher::read_loads()
{
    absl::flat_hash_set<host_id> leaving;
    {
        absl::MutexLock lock(&m_mutex);
        leaving = m_leaving;
    }
    for (const auto& host : leaving)
    {
        mark_leaving(host, absl::Now() + assumed_notice);
    }
    const auto config = m_node.current_configuration();
    for (const auto& upstream : config->upstreams())
    {
        if (upstream->type != upstream_entry::kind::engine)
        {
            continue;
        }
        get(upstream->url + "/load",
            [this, id = upstream->id](const std::string& body)
            { take_load(id, body); });
    }
    m_timers.after(load_interval, [this] { read_loads(); });
}

void platform_watcher::take_load(const upstream_id& id, const std::string& body)
{
    const auto fields = parse_object(body);
    load_report report;
    report.as_of = absl::FromUnixMillis(require_integer(fields, "as_of_ms"));
    report.running = require_integer(fields, "running");
    report.waiting = require_integer(fields, "waiting");
    report.is_leaving = find_boolean(fields, "leaving").value_or(false);
    const bool was_leaving = m_node.loads().load(id).is_leaving;
    m_node.loads().set_report(id, report);
    if (report.is_leaving && !was_leaving)
    {
        log(events::upstream_leaving, {{"upstream", id.value()}});
        m_on_upstream_leaving(id, absl::Now() + assumed_notice);
    }
}

} // namespace daleshelf
