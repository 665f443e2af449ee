/// @file
/// Which server gets a request.
#pragma once

#include "decision_policy.hpp"
#include "ingress_configuration.hpp"
#include "prompt_memory.hpp"
#include "request_facts.hpp"
#include "server_directory.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/random/random.h>
#include <absl/time/time.h>

#include <engines/engine_estimate.hpp>
#include <optional>
#include <rollouts/rollout_watch.hpp>

namespace daleshelf
{

/// Work at one server that one machine has sent there.
struct server_load
{
    std::int64_t active = 0;        ///< requests in flight
    std::int64_t unread_tokens = 0; ///< of prompts before their first event
};

/// What an attempt has told of a server.
enum class attempt_outcome
{
    answered,    ///< a good answer, or its beginning
    failed,      ///< the server's own failure
    refused,     ///< the server is full
    unreachable, ///< no connection, or it broke
    silent,      ///< nothing came for too long
};

/// One request that needs a server.
struct choice_request
{
    service_name service;
    bool is_engine = false;
    const request_facts* facts = nullptr;
    engine_estimate engine; ///< of the service
    /// The version that the request is tried with; none: those in use.
    std::optional<picked_target> trial;
    absl::flat_hash_set<upstream_id> excluded; ///< tried before
    /// Where an attempt broke: the whole hall may be cut off.
    absl::flat_hash_set<hall_id> avoided_halls;
    /// A server has ended under it: it goes where the least else runs.
    bool is_suspect = false;
    /// Where other such requests are, which are not to be taken for this one.
    absl::flat_hash_set<upstream_id> suspected_at;
};

/// What a server probably has to do for a prompt, and before it.
struct expected_work
{
    double certain_tokens = 0;  ///< to read, that it has not read before
    double doubtful_tokens = 0; ///< that it may have read for another host
    double ahead_tokens = 0;    ///< of this host, sent before
    double peers_ahead_tokens = 0;
    std::int64_t running = 0; ///< requests in flight there
    std::int64_t tokens = 0;  ///< expected to be read
};

/// Picks the server with the least work ahead of the request. The work is what
/// this machine has in flight there, what its peers have told, and the prompt
/// tokens that the server would have to read; of prompts that nobody has sent
/// lately, a rendezvous hash tells every machine the same server. Servers that
/// have failed lately are passed over for a while.
class server_choice
{
public:
    server_choice(const server_directory& directory, hall_id own_hall,
                  std::uint64_t seed, const decision_policy& policy = {});

    /// @return the server, or null if none may get the request
    [[nodiscard]] const server_entry* choose(const choice_request& request,
                                             absl::Time now);

    /// @return how long the request's first event would take at the server: a
    /// place there, what is read before it, and its own prompt; in ms
    [[nodiscard]] double expected_first_ms(const server_entry& server,
                                           const choice_request& request) const;

    /// Notes that a request is sent to the server. All that is known of it, and
    /// all that is noted below, belongs to its newest life.
    /// @param cache_tokens tokens that the server keeps
    /// @return what the server probably has to do
    expected_work start(const upstream_life& server,
                        const choice_request& request,
                        std::int64_t cache_tokens);

    /// Notes that a prompt has been read.
    /// @param tokens as expected when it was sent
    void prompt_read(const upstream_life& server, std::int64_t tokens);

    /// Notes that a request no longer runs at the server.
    void end(const upstream_life& server);

    /// Notes how an attempt went.
    void report(const upstream_life& server, attempt_outcome outcome,
                absl::Time now);

    /// Notes that a server wants nothing from this host until then. Nothing
    /// shortens that but its next life: not an answer in order, nor that it is
    /// unlisted meanwhile.
    void note_rest(const upstream_life& server, absl::Time until,
                   absl::Time now);

    /// Chooses other servers until then, since this one has no room within its
    /// limit.
    void pass_over(const upstream_life& server, absl::Time until);

    /// @return the servers of the service that are passed over now
    [[nodiscard]] std::vector<upstream_id>
    passed_over(const service_name& service, absl::Time now) const;

    /// @return when the first of a service's servers may be asked again, if
    /// all that may get new work want nothing now
    [[nodiscard]] std::optional<absl::Time>
    all_rest_until(const service_name& service, absl::Time now) const;

    /// Forgets what was known of a server that has started again.
    void forget(const upstream_id& server);

    /// Replaces what a peer has in flight.
    void set_peer_load(const host_id& peer,
                       absl::flat_hash_map<upstream_id, server_load> loads);

    /// Forgets a peer that is gone.
    void drop_peer(const host_id& peer);

    /// Forgets servers that are no longer listed.
    void drop_unlisted();

    /// @return what this machine has in flight, by server
    [[nodiscard]] const absl::flat_hash_map<upstream_id, server_load>&
    own_loads() const
    {
        return m_own;
    }

    /// @return what all machines have in flight at a server, as far as known
    [[nodiscard]] server_load total_load(const upstream_id& server) const;

private:
    struct health
    {
        int failures = 0; ///< one after the other
        absl::Time suspect_until = absl::InfinitePast();
    };

    [[nodiscard]] bool is_over(const upstream_life& server) const;
    [[nodiscard]] absl::Time rest_end(const upstream_id& server) const;
    [[nodiscard]] bool is_passed_over(const upstream_id& server,
                                      absl::Time now) const;
    [[nodiscard]] std::vector<const server_entry*>
    candidates(const choice_request& request) const;
    double cost_of(const server_entry& server, const choice_request& request,
                   const upstream_id& home, absl::Time now);
    [[nodiscard]] double engine_cost(const server_entry& server,
                                     const choice_request& request,
                                     const upstream_id& home) const;
    [[nodiscard]] double call_cost(const server_entry& server) const;
    [[nodiscard]] expected_work expect(const upstream_id& server,
                                       const choice_request& request,
                                       const upstream_id& home) const;
    [[nodiscard]] server_load own_load(const upstream_id& server) const;
    [[nodiscard]] server_load peers_load(const upstream_id& server) const;
    [[nodiscard]] upstream_id home_of(const choice_request& request) const;
    void
    add_to_peers(const absl::flat_hash_map<upstream_id, server_load>& loads,
                 int sign);
    const server_directory& m_directory;
    hall_id m_own_hall;
    decision_policy m_policy;
    absl::BitGen m_random;
    absl::flat_hash_map<upstream_id, server_load> m_own;
    absl::flat_hash_map<host_id, absl::flat_hash_map<upstream_id, server_load>>
        m_peers;
    absl::flat_hash_map<upstream_id, server_load> m_peers_sum;
    absl::flat_hash_map<upstream_id, health> m_health;
    absl::flat_hash_map<upstream_id, absl::Time> m_rests;       ///< their ends
    absl::flat_hash_map<upstream_id, absl::Time> m_passed_over; ///< until when
    absl::flat_hash_map<upstream_id, prompt_memory> m_prompts;
};

} // namespace daleshelf
