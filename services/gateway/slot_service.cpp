#include "slot_service.hpp"

namespace daleshelf
{

namespace
{

// A keeper replies within 1 ms in the same hall, and within 6 ms from another.
// A host that has used up its CPU quota is paused for up to 0.09 s.
constexpr milliseconds reply_timeout{100};
// Requests to upstreams that are probably not brittle do not wait for keepers
// that are listed and gone.
constexpr milliseconds unknown_limit_timeout{25};
// A host that has just started does not know which upstreams are brittle: its
// peers send it the limits on the first contact.
constexpr absl::Duration start_time = absl::Seconds(3);
constexpr std::size_t max_limits = 8192;

} // namespace

slot_hold& slot_hold::operator=(slot_hold&& other) noexcept
{
    if (this != &other)
    {
        release();
        m_slots = std::move(other.m_slots);
        m_server = std::move(other.m_server);
    }
    return *this;
}

slot_hold::~slot_hold()
{
    release();
}

void slot_hold::release()
{
    if (const auto slots = m_slots.lock())
    {
        m_slots.reset();
        (*slots)->release(m_server);
    }
}

slot_service::slot_service(asio::io_context& context,
                           const server_directory& servers, shared_slots slots)
    : m_context(context)
    , m_servers(servers)
    , m_slots(std::move(slots))
    , m_started_at(now())
{
}

bool slot_service::needs_slot(const server_entry& server,
                              absl::Time time_of_day) const
{
    const bool is_enforced =
        m_limits.is_introduced(server.service, now(), time_of_day) &&
        m_limits.limit_of(server.incarnation(), server.service, now());
    return is_enforced || is_starting();
}

awaitable<bool> slot_service::acquire(server_entry server)
{
    const brittle_upstream upstream{
        server.incarnation(), server.hall, server.slots,
        m_limits.limit_of(server.incarnation(), server.service, now())};
    const auto timeout =
        upstream.rejection_limit ? reply_timeout : unknown_limit_timeout;
    auto claim = m_slots.open_claim(upstream, now());
    while (true)
    {
        const auto step = m_slots.advance(claim, now());
        report_changes();
        if (step.result != slot_claim_step::status::pending)
        {
            co_return step.result == slot_claim_step::status::granted;
        }
        const auto sequence = step.request->message.sequence;
        const auto replied =
            std::make_shared<async_event>(m_context.get_executor());
        m_pending[sequence] = replied;
        send({*step.request});
        co_await replied->wait_for(timeout);
        m_pending.erase(sequence);
    }
}

slot_hold slot_service::hold(const upstream_id& server)
{
    m_slots.begin(server);
    report_changes();
    return {m_self, server};
}

void slot_service::release(const upstream_id& server)
{
    m_slots.end(server);
    report_changes();
}

void slot_service::record_rejection(const upstream_id& server)
{
    m_slots.record_rejection(server);
    report_changes();
}

void slot_service::apply_limits()
{
    // 1. Services with an upstream that advertises a limit.
    for (const auto& record : m_limits.table().newest(max_limits))
    {
        const auto* listed = m_servers.find(record.server.id);
        if (listed != nullptr &&
            !listed->incarnation().is_newer_than(record.server))
        {
            m_limits.mark_service(listed->service, *record.per_second,
                                  record.advertised_at, now());
        }
    }
    // 2. Their upstreams, those included that have advertised nothing yet.
    absl::btree_set<upstream_id> tracked;
    for (const auto& service : m_limits.marked_services(now()))
    {
        for (const auto& [hash, server] : m_servers.usable(service))
        {
            const auto limit =
                m_limits.limit_of(server->incarnation(), service, now());
            if (!limit)
            {
                continue;
            }
            m_slots.track(
                {server->incarnation(), server->hall, server->slots, limit});
            tracked.insert(server->id);
        }
    }
    m_slots.track_only(tracked);
}

void slot_service::tick(std::vector<slot_host> peers)
{
    m_slots.set_peers(std::move(peers));
    apply_limits();
    send(m_slots.tick(now()));
}

std::string slot_service::receive(std::string_view bytes)
{
    const auto message = decode_slot_message(bytes);
    if (!message)
    {
        return {};
    }
    const auto reply = m_slots.receive(*message, now());
    const auto pending = m_pending.find(message->in_reply_to);
    if (pending != m_pending.end() && m_slots.has_reply(message->in_reply_to))
    {
        pending->second->notify();
    }
    return reply ? encode(*reply) : std::string();
}

// Reports all changes of one turn of the event loop together.
void slot_service::report_changes()
{
    if (m_is_report_due || !m_slots.has_changes())
    {
        return;
    }
    m_is_report_due = true;
    asio::post(m_context,
               [this]
               {
                   m_is_report_due = false;
                   send(m_slots.take_changes(now()));
               });
}

void slot_service::send(
    const std::vector<addressed_slot_message>& messages) const
{
    if (!m_send)
    {
        return;
    }
    for (const auto& [to, message] : messages)
    {
        m_send(to, encode(message));
    }
}

bool slot_service::is_starting() const
{
    return now() - m_started_at < start_time;
}

absl::Time slot_service::now()
{
    return absl::UnixEpoch() +
           absl::FromChrono(monotonic::now().time_since_epoch());
}

} // namespace daleshelf
