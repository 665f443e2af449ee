#include "server_choice.hpp"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace daleshelf
{

namespace
{

// Weights of the cost, in milliseconds of a server's time.
// A running generation counts as much as reading so many tokens: each step of
// the engine carries its context and its token beside what is read.
constexpr double tokens_per_generation = 20;
// The work of a plain call at today's users: 15 to 60 ms.
constexpr double ms_per_active_call = 15;
// A round trip between halls of one region takes 1 to 3 ms; bytes between them
// cost besides.
constexpr double ms_for_other_hall = 1;
// A server that has just started is preferred to none, and to one with more
// than three calls waiting.
constexpr double ms_for_cold_start = 50;
// Above what waits at any server that answers in time, below a suspect one: the
// other servers of a cut hall are tried before those that failed themselves.
constexpr double ms_for_avoided_hall = 3000;
constexpr double ms_while_suspect = 100000;
// A request under which a server has ended: what runs beside it would be broken
// off as well, which costs each about a second; beside another one of its kind
// it could not be told from that.
constexpr double ms_per_neighbour = 1000;
constexpr double ms_beside_suspect = 50000;
// Hosts that know the same do not all choose the same among equals.
constexpr double ms_of_jitter = 0.5;

// After a failure a server is passed over for twice as long each time: from
// about the time in which a restart of a connection shows, to the boot time of
// a server.
constexpr absl::Duration first_pause = absl::Milliseconds(400);
constexpr absl::Duration longest_pause = absl::Seconds(4);

std::uint64_t rendezvous_weight(const upstream_id& server,
                                const std::string& key)
{
    return XXH3_64bits_withSeed(server.value().data(), server.value().size(),
                                XXH3_64bits(key.data(), key.size()));
}

std::int64_t total_tokens(const std::vector<prompt_part>& prompt)
{
    std::int64_t tokens = 0;
    for (const auto& part : prompt)
    {
        tokens += part.tokens;
    }
    return tokens;
}

// The last part belongs to the request or its session alone.
const std::string& sharing_key(const std::vector<prompt_part>& prompt)
{
    return prompt.size() > 1 ? prompt[prompt.size() - 2].id : prompt.back().id;
}

} // namespace

server_choice::server_choice(const server_directory& directory,
                             hall_id own_hall, std::uint64_t seed,
                             const decision_policy& policy)
    : m_directory(directory)
    , m_own_hall(std::move(own_hall))
    , m_policy(policy)
    , m_random(std::seed_seq{static_cast<std::uint32_t>(seed),
                             static_cast<std::uint32_t>(seed >> 32U)})
{
}

const server_entry* server_choice::choose(const choice_request& request,
                                          absl::Time now)
{
    const auto home = home_of(request);
    const server_entry* best = nullptr;
    auto best_cost = std::numeric_limits<double>::infinity();
    for (const auto* server : candidates(request))
    {
        if (request.excluded.contains(server->id) ||
            now < rest_end(server->id) || is_passed_over(server->id, now))
        {
            continue;
        }
        const auto cost = cost_of(*server, request, home, now);
        if (cost < best_cost)
        {
            best = server;
            best_cost = cost;
        }
    }
    return best;
}

std::vector<const server_entry*>
server_choice::candidates(const choice_request& request) const
{
    if (!request.trial)
    {
        return m_directory.usable(request.service);
    }
    return m_directory.trial_servers(request.service, request.trial->version,
                                     request.trial->share);
}

double server_choice::expected_first_ms(const server_entry& server,
                                        const choice_request& request) const
{
    const auto work = expect(server.id, request, home_of(request));
    const auto& engine = request.engine;
    const auto slots = static_cast<double>(std::max(1, server.slots));
    // 1. With all places taken, one is free each time that an answer ends.
    const auto before =
        std::max(0.0, static_cast<double>(work.running) + 1 - slots);
    const auto for_place_ms = before * engine.answer_ms / slots;
    // 2. What is read meanwhile is no longer ahead then.
    const auto tokens_ahead =
        work.ahead_tokens + work.peers_ahead_tokens * engine.peers_part;
    const auto for_others_ms =
        std::max(for_place_ms, tokens_ahead * engine.read_ms_per_token);
    return for_others_ms +
           engine.first_event_ms(static_cast<double>(work.tokens));
}

expected_work server_choice::start(const upstream_life& server,
                                   const choice_request& request,
                                   std::int64_t cache_tokens)
{
    const auto work = expect(server.id, request, home_of(request));
    if (is_over(server))
    {
        return work;
    }
    m_prompts.try_emplace(server.id, prompt_memory(cache_tokens))
        .first->second.note(request.facts->prompt);
    auto& load = m_own[server.id];
    load.active += 1;
    load.unread_tokens += work.tokens;
    return work;
}

void server_choice::prompt_read(const upstream_life& server,
                                std::int64_t tokens)
{
    if (!is_over(server))
    {
        m_own[server.id].unread_tokens -= tokens;
    }
}

void server_choice::end(const upstream_life& server)
{
    if (!is_over(server))
    {
        m_own[server.id].active -= 1;
    }
}

void server_choice::note_rest(const upstream_life& server, absl::Time until,
                              absl::Time now)
{
    if (is_over(server))
    {
        return;
    }
    absl::erase_if(m_rests,
                   [now](const auto& rest) { return rest.second <= now; });
    const auto end = std::max(rest_end(server.id), until);
    m_rests[server.id] = end;
}

void server_choice::pass_over(const upstream_life& server, absl::Time until)
{
    if (!is_over(server))
    {
        m_passed_over[server.id] = until;
    }
}

std::vector<upstream_id> server_choice::passed_over(const service_name& service,
                                                    absl::Time now) const
{
    std::vector<upstream_id> servers;
    for (const auto* server : m_directory.usable(service))
    {
        if (is_passed_over(server->id, now))
        {
            servers.push_back(server->id);
        }
    }
    return servers;
}

bool server_choice::is_passed_over(const upstream_id& server,
                                   absl::Time now) const
{
    const auto found = m_passed_over.find(server);
    return found != m_passed_over.end() && now < found->second;
}

absl::Time server_choice::rest_end(const upstream_id& server) const
{
    const auto rest = m_rests.find(server);
    return rest == m_rests.end() ? absl::InfinitePast() : rest->second;
}

std::optional<absl::Time>
server_choice::all_rest_until(const service_name& service, absl::Time now) const
{
    std::optional<absl::Time> first;
    for (const auto* server : m_directory.usable(service))
    {
        const auto end = rest_end(server->id);
        if (end <= now)
        {
            return std::nullopt;
        }
        first = std::min(first.value_or(end), end);
    }
    return first;
}

void server_choice::forget(const upstream_id& server)
{
    m_own.erase(server);
    m_rests.erase(server);
    m_passed_over.erase(server);
    m_health.erase(server);
    m_prompts.erase(server);
}

// Requests sent to an earlier life end later: they are no work of this one.
bool server_choice::is_over(const upstream_life& server) const
{
    const auto* listed = m_directory.find(server.id);
    return listed != nullptr && listed->life().is_after(server);
}

void server_choice::report(const upstream_life& server, attempt_outcome outcome,
                           absl::Time now)
{
    if (is_over(server))
    {
        return;
    }
    auto& known = m_health[server.id];
    if (outcome == attempt_outcome::answered)
    {
        known = {};
        return;
    }
    if (outcome == attempt_outcome::refused)
    {
        known.suspect_until =
            std::max(known.suspect_until, now + first_pause / 4);
        return;
    }
    known.failures += 1;
    // One failed request says little: services fail some by themselves.
    constexpr int tolerated_failures = 3;
    if (outcome == attempt_outcome::failed &&
        known.failures < tolerated_failures)
    {
        return;
    }
    const auto pause = std::min(
        longest_pause, first_pause * (1 << std::min(known.failures, 4)));
    known.suspect_until = now + pause;
}

void server_choice::set_peer_load(
    const host_id& peer, absl::flat_hash_map<upstream_id, server_load> loads)
{
    auto& known = m_peers[peer];
    add_to_peers(known, -1);
    known = std::move(loads);
    add_to_peers(known, 1);
}

void server_choice::drop_peer(const host_id& peer)
{
    const auto known = m_peers.find(peer);
    if (known != m_peers.end())
    {
        add_to_peers(known->second, -1);
        m_peers.erase(known);
    }
}

// Keeps the sum over all peers: there are many, and it is asked for each
// server at each choice.
void server_choice::add_to_peers(
    const absl::flat_hash_map<upstream_id, server_load>& loads, int sign)
{
    for (const auto& [server, load] : loads)
    {
        auto& sum = m_peers_sum[server];
        sum.active += sign * load.active;
        sum.unread_tokens += sign * load.unread_tokens;
        if (sum.active == 0 && sum.unread_tokens == 0)
        {
            m_peers_sum.erase(server);
        }
    }
}

void server_choice::drop_unlisted()
{
    const auto is_unlisted = [this](const auto& entry)
    { return m_directory.find(entry.first) == nullptr; };
    absl::erase_if(m_health, is_unlisted);
    absl::erase_if(m_prompts, is_unlisted);
    absl::erase_if(m_passed_over, is_unlisted);
    absl::erase_if(m_own, [&](const auto& entry)
                   { return entry.second.active == 0 && is_unlisted(entry); });
}

server_load server_choice::total_load(const upstream_id& server) const
{
    const auto own = own_load(server);
    const auto peers = peers_load(server);
    return {own.active + peers.active, own.unread_tokens + peers.unread_tokens};
}

server_load server_choice::own_load(const upstream_id& server) const
{
    const auto found = m_own.find(server);
    return found == m_own.end() ? server_load{} : found->second;
}

server_load server_choice::peers_load(const upstream_id& server) const
{
    const auto found = m_peers_sum.find(server);
    return found == m_peers_sum.end() || !m_policy.counts_peers ? server_load{}
                                                                : found->second;
}

double server_choice::cost_of(const server_entry& server,
                              const choice_request& request,
                              const upstream_id& home, absl::Time now)
{
    auto cost = absl::Uniform(m_random, 0.0, ms_of_jitter);
    cost += request.is_engine ? engine_cost(server, request, home)
                              : call_cost(server);
    if (server.hall != m_own_hall && m_policy.prefers_own_hall)
    {
        cost += ms_for_other_hall;
    }
    if (request.avoided_halls.contains(server.hall) && m_policy.avoids_halls)
    {
        cost += ms_for_avoided_hall;
    }
    if (server.cold_remaining.count() > 0)
    {
        cost += ms_for_cold_start;
    }
    if (request.is_suspect)
    {
        cost += static_cast<double>(total_load(server.id).active) *
                ms_per_neighbour;
        cost +=
            request.suspected_at.contains(server.id) ? ms_beside_suspect : 0;
    }
    const auto known = m_health.find(server.id);
    if (m_policy.passes_over_suspects && known != m_health.end() &&
        now < known->second.suspect_until)
    {
        cost += ms_while_suspect;
    }
    return cost;
}

// The time until the request's prompt is read, and what it holds others up.
double server_choice::engine_cost(const server_entry& server,
                                  const choice_request& request,
                                  const upstream_id& home) const
{
    const auto work = expect(server.id, request, home);
    const auto tokens =
        work.ahead_tokens +
        work.peers_ahead_tokens * request.engine.peers_part +
        static_cast<double>(work.tokens) +
        static_cast<double>(work.running) * tokens_per_generation;
    return tokens * request.engine.read_ms_per_token;
}

double server_choice::call_cost(const server_entry& server) const
{
    const auto slots = std::max(1, server.slots);
    const auto active = total_load(server.id).active;
    return static_cast<double>(active) / slots * ms_per_active_call;
}

expected_work server_choice::expect(const upstream_id& server,
                                    const choice_request& request,
                                    const upstream_id& home) const
{
    expected_work work;
    const auto own = own_load(server);
    const auto peers = peers_load(server);
    work.ahead_tokens = static_cast<double>(own.unread_tokens);
    work.peers_ahead_tokens = static_cast<double>(peers.unread_tokens);
    work.running = own.active + peers.active;
    const auto& prompt = request.facts->prompt;
    if (!request.is_engine || prompt.empty())
    {
        return work;
    }
    auto unread = total_tokens(prompt);
    const auto memory = m_prompts.find(server);
    if (memory != m_prompts.end() && m_policy.routes_by_prompt)
    {
        unread -= memory->second.cached_tokens(prompt);
    }
    const auto own_part = std::min(unread, prompt.back().tokens);
    const auto shared = static_cast<double>(unread - own_part);
    work.certain_tokens = static_cast<double>(own_part);
    auto& kind = server == home ? work.doubtful_tokens : work.certain_tokens;
    kind += shared;
    work.tokens = static_cast<std::int64_t>(work.certain_tokens +
                                            work.doubtful_tokens *
                                                request.engine.doubtful_part);
    return work;
}

// Of prompts that this host has not sent lately, a rendezvous hash of the part
// that others share tells every host the same server.
upstream_id server_choice::home_of(const choice_request& request) const
{
    if (!request.is_engine || request.facts->prompt.empty() ||
        !m_policy.routes_by_prompt)
    {
        return {};
    }
    const auto& key = sharing_key(request.facts->prompt);
    upstream_id home;
    std::uint64_t best = 0;
    for (const auto* server : candidates(request))
    {
        const auto weight = rendezvous_weight(server->id, key);
        if (home.value().empty() || weight > best)
        {
            home = server->id;
            best = weight;
        }
    }
    return home;
}

} // namespace daleshelf
