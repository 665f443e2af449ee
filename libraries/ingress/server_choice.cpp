#include "server_choice.hpp"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace daleshelf
{

namespace
{

// Weights of the cost, in milliseconds of a server's time. The rate is what
// the engines in use reach; only its relation to the others matters.
constexpr double tokens_per_ms = 32;
constexpr double ms_per_active_generation = 0.6;
constexpr double ms_per_active_call = 15;
constexpr double ms_for_other_hall = 1;
constexpr double ms_for_cold_start = 50;
constexpr double ms_for_avoided_hall = 3000;
constexpr double ms_while_suspect = 100000;
constexpr double ms_of_jitter = 0.5;
// A prompt at the server that the hash names is probably cached there.
constexpr double likely_share_to_read = 0.35;

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
                             hall_id own_hall, std::uint64_t seed)
    : m_directory(directory)
    , m_own_hall(std::move(own_hall))
    , m_random(std::seed_seq{static_cast<std::uint32_t>(seed),
                             static_cast<std::uint32_t>(seed >> 32U)})
{
}

const server_entry* server_choice::choose(const choice_request& request,
                                          absl::Time now)
{
    const auto servers = m_directory.usable(request.service);
    upstream_id home;
    if (request.is_engine && !request.facts->prompt.empty())
    {
        home = find_home(servers, *request.facts).value_or(upstream_id());
    }
    const server_entry* best = nullptr;
    auto best_cost = std::numeric_limits<double>::infinity();
    for (const auto* server : servers)
    {
        if (request.excluded.contains(server->id))
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

std::int64_t server_choice::start(const upstream_id& server,
                                  const request_facts& facts,
                                  std::int64_t cache_tokens)
{
    auto& memory = m_prompts.try_emplace(server, prompt_memory(cache_tokens))
                       .first->second;
    const auto unread =
        total_tokens(facts.prompt) - memory.cached_tokens(facts.prompt);
    memory.note(facts.prompt);
    auto& load = m_own[server];
    load.active += 1;
    load.unread_tokens += unread;
    return unread;
}

void server_choice::prompt_read(const upstream_id& server, std::int64_t unread)
{
    m_own[server].unread_tokens -= unread;
}

void server_choice::end(const upstream_id& server)
{
    m_own[server].active -= 1;
}

void server_choice::report(const upstream_id& server, attempt_outcome outcome,
                           absl::Time now)
{
    auto& known = m_health[server];
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
    m_peers[peer] = std::move(loads);
}

void server_choice::drop_peer(const host_id& peer)
{
    m_peers.erase(peer);
}

void server_choice::drop_unlisted()
{
    const auto is_unlisted = [this](const auto& entry)
    { return m_directory.find(entry.first) == nullptr; };
    absl::erase_if(m_health, is_unlisted);
    absl::erase_if(m_prompts, is_unlisted);
    absl::erase_if(m_own, [&](const auto& entry)
                   { return entry.second.active == 0 && is_unlisted(entry); });
}

server_load server_choice::total_load(const upstream_id& server) const
{
    server_load total;
    const auto add = [&](const auto& loads)
    {
        const auto found = loads.find(server);
        if (found != loads.end())
        {
            total.active += found->second.active;
            total.unread_tokens += found->second.unread_tokens;
        }
    };
    add(m_own);
    for (const auto& [peer, loads] : m_peers)
    {
        add(loads);
    }
    return total;
}

double server_choice::cost_of(const server_entry& server,
                              const choice_request& request,
                              const upstream_id& home, absl::Time now)
{
    const auto load = total_load(server.id);
    double cost = absl::Uniform(m_random, 0.0, ms_of_jitter);
    if (request.is_engine)
    {
        const auto all = total_tokens(request.facts->prompt);
        auto to_read = static_cast<double>(all);
        const auto memory = m_prompts.find(server.id);
        if (memory != m_prompts.end())
        {
            to_read = static_cast<double>(
                all - memory->second.cached_tokens(request.facts->prompt));
        }
        if (server.id == home && to_read > 0)
        {
            to_read = std::min(to_read,
                               static_cast<double>(all) * likely_share_to_read);
        }
        cost +=
            (static_cast<double>(load.unread_tokens) + to_read) / tokens_per_ms;
        cost += static_cast<double>(load.active) * ms_per_active_generation;
    }
    else
    {
        const auto slots = std::max(1, server.slots);
        cost += static_cast<double>(load.active) / slots * ms_per_active_call;
    }
    if (server.hall != m_own_hall)
    {
        cost += ms_for_other_hall;
    }
    if (request.avoided_halls.contains(server.hall))
    {
        cost += ms_for_avoided_hall;
    }
    if (server.cold_remaining.count() > 0)
    {
        cost += ms_for_cold_start;
    }
    const auto known = m_health.find(server.id);
    if (known != m_health.end() && now < known->second.suspect_until)
    {
        cost += ms_while_suspect;
    }
    return cost;
}

std::optional<upstream_id>
server_choice::find_home(const std::vector<const server_entry*>& servers,
                         const request_facts& facts) const
{
    const auto& key = sharing_key(facts.prompt);
    std::optional<upstream_id> home;
    std::uint64_t best = 0;
    for (const auto* server : servers)
    {
        const auto weight = rendezvous_weight(server->id, key);
        if (!home || weight > best)
        {
            home = server->id;
            best = weight;
        }
    }
    return home;
}

} // namespace daleshelf
