#include "server_choice.hpp"

#include "rendezvous_ranking.hpp"

#include <algorithm>
#include <limits>

namespace daleshelf
{

namespace
{

// Weights of the cost function, in milliseconds of an upstream's time.
// A round trip between halls of one region takes 1 to 3 ms, and traffic between
// halls costs extra.
constexpr double ms_for_other_hall = 1;
// An upstream in its cold start is used if there is no other, and in preference
// to one with more than three waiting calls.
constexpr double ms_for_cold_start = 50;
// Above the queue of any upstream that responds in time, and below the cost of
// an unhealthy one: the other upstreams of a hall that is cut off are tried
// before those that failed themselves.
constexpr double ms_for_avoided_hall = 3000;
constexpr double ms_while_unhealthy = 100000;
// Costs of a suspect request, during which an upstream has crashed. If it
// causes another crash, every request that runs beside it breaks and loses
// about a second. Beside another suspect request, the crash could not be
// attributed to one of the two.
constexpr double ms_per_concurrent_request = 1000;
constexpr double ms_beside_suspect_request = 50000;
// Keeps hosts with the same knowledge from all selecting the same one of
// several equal upstreams.
constexpr double ms_of_jitter = 0.5;

// Up to this number of a service's upstreams, all are compared. Of more, a
// request compares those that rank highest for it, so that the cost of a choice
// and the connections of a host do not grow with the fleet. The least loaded of
// so many is practically as good as the least loaded of all.
constexpr std::size_t max_compared_servers = 256;

// Doublings of the number of engines that are compared, which bound the cost of
// a choice while slots are short. Of 16 engines, one has room with a
// probability of 81 % if a tenth of all have some.
constexpr int max_extensions = 3;

std::int64_t total_tokens(const std::vector<prompt_part>& prompt)
{
    std::int64_t tokens = 0;
    for (const auto& part : prompt)
    {
        tokens += part.tokens;
    }
    return tokens;
}

} // namespace

server_choice::server_choice(const server_directory& directory,
                             hall_id own_hall, std::uint64_t seed,
                             const decision_policy& policy)
    : m_directory(directory)
    , m_own_hall(std::move(own_hall))
    , m_policy(policy)
    , m_subset_key(seed)
    , m_random(std::seed_seq{static_cast<std::uint32_t>(seed),
                             static_cast<std::uint32_t>(seed >> 32U)})
{
}

const server_entry* server_choice::choose(const choice_request& request,
                                          absl::Time now)
{
    const auto preferred = rendezvous_server(request);
    const auto servers = candidates(request);
    auto count = compared_count(request);
    auto best = cheapest(highest_ranked(servers, request, count), request,
                         preferred, now);
    // Engines without room are passed over while others have some. Each prompt
    // has its own order of engines, so that hosts do not all go on to the same
    // one.
    for (int extension = 0; extension < max_extensions; ++extension)
    {
        if (count >= servers.size() || !lacks_room(best, request))
        {
            break;
        }
        count *= 2;
        best = cheapest(highest_ranked(servers, request, count), request,
                        preferred, now);
    }
    if (count >= servers.size() || best.cost < ms_while_unhealthy)
    {
        return best.server;
    }
    return cheapest(servers, request, preferred, now).server;
}

std::size_t server_choice::compared_count(const choice_request& request) const
{
    return request.headroom && routes_by_prompt(request)
               ? static_cast<std::size_t>(m_policy.compared_engines)
               : max_compared_servers;
}

std::vector<hashed_server>
server_choice::candidates(const choice_request& request) const
{
    if (request.stream_version)
    {
        return m_directory.resumption_servers(request.service,
                                              *request.stream_version);
    }
    if (!request.canary)
    {
        return m_directory.usable(request.service);
    }
    return m_directory.canary_servers(request.service, request.canary->version,
                                      request.canary->share);
}

// Returns the servers to compare for the request: the same ones on all hosts
// for prompts that share parts, and always the same ones on this host for
// requests without a prompt.
std::vector<hashed_server>
server_choice::highest_ranked(std::vector<hashed_server> servers,
                              const choice_request& request,
                              std::size_t count) const
{
    const auto key = routes_by_prompt(request)
                         ? rendezvous_key(request.facts->prompt)
                         : m_subset_key;
    return daleshelf::highest_ranked(std::move(servers), key, count);
}

server_choice::priced_server
server_choice::cheapest(const std::vector<hashed_server>& servers,
                        const choice_request& request,
                        const upstream_id& preferred, absl::Time now)
{
    priced_server best;
    for (const auto& [hash, server] : servers)
    {
        if (request.excluded.contains(server->id) ||
            now < back_off_end(server->id) || is_passed_over(server->id, now) ||
            !has_room(*server))
        {
            continue;
        }
        const auto cost = cost_of(*server, request, preferred, now);
        if (cost < best.cost)
        {
            best = {server, cost};
        }
    }
    return best;
}

double server_choice::expected_first_ms(const server_entry& server,
                                        const choice_request& request) const
{
    const auto work =
        estimate_work(server.id, request, rendezvous_server(request));
    if (request.headroom)
    {
        return wait_at(server, request, work).first_event_ms();
    }
    const auto& engine = request.engine;
    const auto slots = static_cast<double>(std::max(1, server.slots));
    // 1. While all slots are busy, one becomes free whenever a response ends.
    const auto requests_before =
        std::max(0.0, static_cast<double>(work.running) + 1 - slots);
    const auto slot_wait_ms = requests_before * engine.answer_ms / slots;
    // 2. Prefill of other prompts proceeds during that wait.
    const auto tokens_ahead =
        work.ahead_tokens + work.peers_ahead_tokens * engine.peers_part;
    const auto queue_wait_ms =
        std::max(slot_wait_ms, tokens_ahead * engine.read_ms_per_token);
    return queue_wait_ms +
           engine.first_event_ms(static_cast<double>(work.expected_tokens));
}

expected_work server_choice::begin_attempt(const upstream_incarnation& server,
                                           const choice_request& request,
                                           std::int64_t cache_tokens)
{
    const auto work =
        estimate_work(server.id, request, rendezvous_server(request));
    if (is_superseded(server))
    {
        return work;
    }
    m_prefix_caches.try_emplace(server.id, prefix_cache_estimate(cache_tokens))
        .first->second.add_prompt(request.facts->prompt);
    auto& load = m_loads.own(server.id);
    load.active += 1;
    load.unread_tokens += work.expected_tokens;
    load.memory_tokens +=
        request.headroom ? request.headroom->memory_tokens : 0;
    return work;
}

void server_choice::end_prefill(const upstream_incarnation& server,
                                std::int64_t tokens)
{
    if (!is_superseded(server))
    {
        m_loads.own(server.id).unread_tokens -= tokens;
    }
}

void server_choice::end_attempt(const upstream_incarnation& server,
                                std::int64_t memory_tokens)
{
    if (!is_superseded(server))
    {
        auto& load = m_loads.own(server.id);
        load.active -= 1;
        load.memory_tokens -= memory_tokens;
    }
}

void server_choice::set_back_off(const upstream_incarnation& server,
                                 absl::Time until, absl::Time now)
{
    if (is_superseded(server))
    {
        return;
    }
    absl::erase_if(m_back_off_ends, [now](const auto& back_off)
                   { return back_off.second <= now; });
    const auto end = std::max(back_off_end(server.id), until);
    m_back_off_ends[server.id] = end;
}

void server_choice::set_rejects_safely(const upstream_incarnation& server,
                                       bool rejects_safely)
{
    if (is_superseded(server))
    {
        return;
    }
    if (rejects_safely)
    {
        m_brittle.erase(server.id);
        return;
    }
    m_brittle.insert(server.id);
}

// Other upstreams queue requests beyond their slots, or reject them harmlessly.
// The requests of other hosts are counted by the keepers of the slots.
bool server_choice::has_room(const server_entry& server) const
{
    return !m_brittle.contains(server.id) ||
           m_loads.own_load(server.id).active < server.slots;
}

void server_choice::pass_over(const upstream_incarnation& server,
                              absl::Time until)
{
    if (!is_superseded(server))
    {
        m_passed_over[server.id] = until;
    }
}

std::vector<upstream_id> server_choice::passed_over(const service_name& service,
                                                    absl::Time now) const
{
    std::vector<upstream_id> servers;
    for (const auto& [hash, server] : m_directory.usable(service))
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

absl::Time server_choice::back_off_end(const upstream_id& server) const
{
    const auto back_off = m_back_off_ends.find(server);
    return back_off == m_back_off_ends.end() ? absl::InfinitePast()
                                             : back_off->second;
}

std::optional<absl::Time>
server_choice::earliest_back_off_end(const service_name& service,
                                     absl::Time now) const
{
    std::optional<absl::Time> first;
    for (const auto& [hash, server] : m_directory.usable(service))
    {
        const auto end = back_off_end(server->id);
        if (end <= now)
        {
            return std::nullopt;
        }
        first = std::min(first.value_or(end), end);
    }
    return first;
}

void server_choice::reset_server(const upstream_id& server)
{
    m_loads.reset(server);
    m_back_off_ends.erase(server);
    m_passed_over.erase(server);
    m_brittle.erase(server);
    m_health.reset(server);
    m_prefix_caches.erase(server);
}

// Whether a later incarnation is listed. Attempts at an earlier incarnation may
// end after the restart, and are no load of the later one.
bool server_choice::is_superseded(const upstream_incarnation& server) const
{
    const auto* listed = m_directory.find(server.id);
    return listed != nullptr && listed->incarnation().is_newer_than(server);
}

void server_choice::record_outcome(const upstream_incarnation& server,
                                   attempt_outcome outcome, absl::Time now)
{
    if (is_superseded(server))
    {
        return;
    }
    m_health.record(server.id, outcome, now);
}

void server_choice::discard_failures(absl::Time since)
{
    m_health.discard_failures(since);
}

void server_choice::drop_unlisted()
{
    const auto is_unlisted = [this](const upstream_id& server)
    { return m_directory.find(server) == nullptr; };
    m_health.drop_if(is_unlisted);
    m_speeds.drop_if(is_unlisted);
    m_loads.drop_idle(is_unlisted);
    absl::erase_if(m_prefix_caches,
                   [&](const auto& entry) { return is_unlisted(entry.first); });
    absl::erase_if(m_passed_over,
                   [&](const auto& entry) { return is_unlisted(entry.first); });
}

server_load server_choice::total_load(const upstream_id& server) const
{
    return m_loads.own_load(server) + peers_load(server);
}

server_load server_choice::peers_load(const upstream_id& server) const
{
    return m_policy.counts_peers ? m_loads.others_load(server) : server_load{};
}

double server_choice::cost_of(const server_entry& server,
                              const choice_request& request,
                              const upstream_id& preferred, absl::Time now)
{
    auto cost = absl::Uniform(m_random, 0.0, ms_of_jitter);
    cost += request.is_engine ? engine_cost(server, request, preferred)
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
                ms_per_concurrent_request;
        cost += request.suspected_at.contains(server.id)
                    ? ms_beside_suspect_request
                    : 0;
    }
    if (m_policy.passes_over_suspects && m_health.is_unhealthy(server.id, now))
    {
        cost += ms_while_unhealthy;
    }
    return cost;
}

expected_work server_choice::estimate_work(const upstream_id& server,
                                           const choice_request& request,
                                           const upstream_id& preferred) const
{
    expected_work work;
    const auto own = m_loads.own_load(server);
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
    const auto cache = m_prefix_caches.find(server);
    if (cache != m_prefix_caches.end() && m_policy.routes_by_prompt)
    {
        unread -= cache->second.cached_tokens(prompt);
    }
    const auto own_tokens = std::min(unread, prompt.back().tokens);
    const auto shared_tokens = static_cast<double>(unread - own_tokens);
    work.certain_tokens = static_cast<double>(own_tokens);
    auto& shared_part =
        server == preferred ? work.doubtful_tokens : work.certain_tokens;
    shared_part += shared_tokens;
    work.expected_tokens = static_cast<std::int64_t>(
        work.certain_tokens +
        work.doubtful_tokens * request.engine.doubtful_part);
    return work;
}

// Returns the upstream that all hosts prefer for the prompt: the one with the
// highest rendezvous hash of the part that other requests share. Returns an
// empty id if the request is not routed by its prompt.
upstream_id
server_choice::rendezvous_server(const choice_request& request) const
{
    if (!routes_by_prompt(request))
    {
        return {};
    }
    const auto* preferred = daleshelf::highest_ranked(
        candidates(request), rendezvous_key(request.facts->prompt));
    return preferred == nullptr ? upstream_id() : preferred->id;
}

bool server_choice::routes_by_prompt(const choice_request& request) const
{
    return request.is_engine && !request.facts->prompt.empty() &&
           m_policy.routes_by_prompt;
}

} // namespace daleshelf
