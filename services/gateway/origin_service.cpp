#include "origin_service.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

// 0.15 KB each. A host keeps those of a few hundred streams in present fleets.
constexpr std::size_t max_origins = 16384;
// In one datagram of about 25 KB, for a host that has started.
constexpr std::size_t max_sent_origins = 256;
// A keeper replies within 3 ms in the same region, and 45 ms from another. A
// host that has used up its CPU quota is paused for up to 0.09 s.
constexpr milliseconds reply_timeout{150};

absl::Time now()
{
    return absl::UnixEpoch() +
           absl::FromChrono(monotonic::now().time_since_epoch());
}

} // namespace

std::string_view name_of(origin_source source)
{
    switch (source)
    {
    case origin_source::own:
        return "own";
    case origin_source::keeper:
        return "keeper";
    case origin_source::log:
        return "log";
    case origin_source::sole:
        return "sole_version";
    case origin_source::unknown:
        break;
    }
    return "unknown";
}

origin_service::origin_service(asio::io_context& context, host_id self,
                               hall_id hall, const server_directory& servers,
                               bool is_first_start)
    : m_context(context)
    , m_self(std::move(self))
    , m_hall(std::move(hall))
    , m_servers(servers)
    , m_origins(max_origins)
    , m_unwritten(max_origins)
    , m_versions(is_first_start)
{
}

void origin_service::record(const stream_origin& origin,
                            absl::Duration keep_time)
{
    m_origins.add(origin, keep_time, now());
    m_unwritten.add(origin, keep_time, now());
    origin_message report;
    report.origins = {{origin, keep_time}};
    const auto bytes = encode(report);
    for (const auto& keeper : other_keepers(origin.attempt))
    {
        m_peers.send(keeper, bytes);
    }
}

awaitable<found_origin> origin_service::find(origin_query query)
{
    query.span = std::max(query.span, m_longest_wait);
    found_origin found;
    found.origin = {query.begun_by, query.service, {}};
    co_await search(query, found);
    if (m_peers.server_list)
    {
        found.list = m_peers.server_list();
    }
    co_return found;
}

awaitable<void> origin_service::search(const origin_query& query,
                                       found_origin& found)
{
    const auto asked_at = now();
    // 1. What this host knows itself.
    if (const auto own = m_origins.find(query.begun_by, now()))
    {
        found.origin = *own;
        found.source = origin_source::own;
        co_return;
    }
    // 2. What others know. An origin that is kept goes before a version that is
    // derived.
    const bool is_named = !query.begun_by.value().empty();
    std::shared_ptr<pending_question> question;
    if (is_named)
    {
        question = co_await ask_keepers(query);
        found.replies = question->replies;
        if (question->origin)
        {
            found.origin = *question->origin;
            found.source = origin_source::keeper;
            co_return;
        }
    }
    // 3. The only version that the service has had, according to this host, or
    // to a peer that has run for longer. Another host may have begun the stream
    // at a version that was listed just before the resumption arrived.
    found.is_list_confirmed = co_await confirm_server_list();
    if (found.is_list_confirmed)
    {
        auto sole =
            sole_version(query.service, query.span + (now() - asked_at));
        if (!sole && !question)
        {
            question = co_await ask_keepers(query);
            found.replies = question->replies;
        }
        if (!sole)
        {
            sole = reported_version(*question, query.service,
                                    query.span + (now() - asked_at));
        }
        if (sole)
        {
            found.origin.version = *sole;
            found.source = origin_source::sole;
            co_return;
        }
    }
    // 4. What the log holds: all hosts that knew may have died.
    if (is_named && m_read_log)
    {
        co_await m_read_log();
        if (const auto logged = m_origins.find(query.begun_by, now()))
        {
            found.origin = *logged;
            found.source = origin_source::log;
        }
    }
}

awaitable<bool> origin_service::confirm_server_list() const
{
    if (!m_peers.confirm_server_list)
    {
        co_return false;
    }
    co_return co_await m_peers.confirm_server_list();
}

// @return the version that peers take for the only one, unless this host has
// seen another
std::optional<version_name>
origin_service::reported_version(const pending_question& question,
                                 const service_name& service,
                                 absl::Duration span) const
{
    const bool is_contradicted =
        !question.sole_version || question.is_contradictory ||
        m_versions.has_other(service, *question.sole_version, span, now());
    return is_contradicted ? std::nullopt : question.sole_version;
}

awaitable<std::shared_ptr<origin_service::pending_question>>
origin_service::ask_keepers(origin_query query)
{
    const auto number = ++m_last_question;
    const auto question =
        std::make_shared<pending_question>(m_context.get_executor());
    origin_message message;
    message.question = number;
    // A reply describes the time before it was sent.
    message.origins = {{{query.begun_by, query.service, {}},
                        query.span + absl::FromChrono(reply_timeout)}};
    const auto bytes = encode(message);
    const auto asked = hosts_to_ask(query);
    question->unanswered = asked.size();
    m_pending[number] = question;
    for (const auto& host : asked)
    {
        m_peers.send(host, bytes);
    }
    const auto until = monotonic::now() + reply_timeout;
    while (question->unanswered > 0 && !question->origin &&
           monotonic::now() < until)
    {
        co_await question->replied.wait_until(until);
    }
    m_pending.erase(number);
    co_return question;
}

std::vector<host_id>
origin_service::other_keepers(const request_id& attempt) const
{
    if (!m_peers.candidates)
    {
        return {};
    }
    auto keepers = origin_keepers(attempt, m_hall, m_peers.candidates());
    std::erase(keepers, m_self);
    return keepers;
}

// Returns the keepers of a named stream, and hosts that have run for long
// enough to know whether the service has had a single version.
std::vector<host_id>
origin_service::hosts_to_ask(const origin_query& query) const
{
    const bool is_named = !query.begun_by.value().empty();
    auto asked =
        is_named ? other_keepers(query.begun_by) : std::vector<host_id>();
    if (!m_peers.candidates)
    {
        return asked;
    }
    auto candidates = m_peers.candidates();
    std::erase_if(candidates, [&](const auto& candidate)
                  { return candidate.uptime < query.span; });
    for (auto& host : origin_keepers(query.resumed_by, m_hall, candidates))
    {
        const bool is_new =
            host != m_self &&
            std::find(asked.begin(), asked.end(), host) == asked.end();
        if (is_new)
        {
            asked.push_back(std::move(host));
        }
    }
    return asked;
}

std::optional<version_name>
origin_service::sole_version(const service_name& service,
                             absl::Duration span) const
{
    return m_knows_hosts ? m_versions.sole_version(service, span, now())
                         : std::nullopt;
}

void origin_service::record_list(log_offset next)
{
    if (m_observed_from)
    {
        m_versions.restart(now());
    }
    m_observed_from = next;
}

void origin_service::record_discovery(bool was_listed)
{
    m_knows_hosts = true;
    if (was_listed)
    {
        m_versions.restart(now());
    }
}

void origin_service::observe_versions()
{
    for (const auto& [service, versions] : m_servers.listed_versions())
    {
        m_versions.observe(service, versions, now());
    }
}

std::string origin_service::receive(std::string_view bytes)
{
    const auto message = decode_origins(bytes);
    if (!message)
    {
        return {};
    }
    if (message->is_reply)
    {
        handle_reply(*message);
        return {};
    }
    if (message->question > 0)
    {
        return reply_to(*message);
    }
    keep(message->origins);
    return {};
}

void origin_service::keep(const std::vector<timed_origin>& origins)
{
    for (const auto& [origin, keep_time] : origins)
    {
        m_origins.add(origin, keep_time, now());
    }
}

std::string origin_service::reply_to(const origin_message& question) const
{
    origin_message reply;
    reply.question = question.question;
    reply.is_reply = true;
    if (m_peers.server_list)
    {
        reply.list_offset = m_peers.server_list().next;
    }
    for (const auto& [asked, span] : question.origins)
    {
        if (const auto known = m_origins.find(asked.attempt, now()))
        {
            reply.origins.push_back({*known, absl::ZeroDuration()});
        }
        reply.sole_version = sole_version(asked.service, span);
    }
    return encode(reply);
}

void origin_service::handle_reply(const origin_message& reply)
{
    const auto pending = m_pending.find(reply.question);
    if (pending == m_pending.end())
    {
        return;
    }
    auto& question = *pending->second;
    question.unanswered -= std::min<std::size_t>(question.unanswered, 1);
    ++question.replies;
    if (!reply.origins.empty())
    {
        question.origin = reply.origins.front().origin;
    }
    // The peer's history has to reach to where the own one begins.
    const bool is_joined =
        m_observed_from && reply.list_offset >= *m_observed_from;
    if (reply.sole_version && is_joined)
    {
        question.is_contradictory =
            question.is_contradictory ||
            question.sole_version.value_or(*reply.sole_version) !=
                *reply.sole_version;
        question.sole_version = reply.sole_version;
    }
    question.replied.notify();
}

void origin_service::send_kept(const keeper_candidate& started)
{
    if (!m_peers.candidates || started.hall != m_hall)
    {
        return;
    }
    const auto candidates = m_peers.candidates();
    const auto kept = m_origins.all(now());
    origin_message report;
    for (auto origin = kept.rbegin();
         origin != kept.rend() && report.origins.size() < max_sent_origins;
         ++origin)
    {
        const auto keepers =
            origin_keepers(origin->origin.attempt, m_hall, candidates);
        if (std::find(keepers.begin(), keepers.end(), started.host) !=
            keepers.end())
        {
            report.origins.push_back(
                {origin->origin, origin->expires_at - now()});
        }
    }
    if (!report.origins.empty())
    {
        m_peers.send(started.host, encode(report));
    }
}

} // namespace daleshelf
