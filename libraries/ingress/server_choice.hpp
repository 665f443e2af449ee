/// @file
/// Selects the upstream for a request.
#pragma once

#include "decision_policy.hpp"
#include "engine_wait.hpp"
#include "ingress_configuration.hpp"
#include "prefix_cache_estimate.hpp"
#include "request_facts.hpp"
#include "server_directory.hpp"
#include "upstream_health.hpp"
#include "upstream_load_table.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/random/random.h>
#include <absl/time/time.h>

#include <engines/engine_estimate.hpp>
#include <headroom/speed_table.hpp>
#include <limits>
#include <optional>
#include <rollouts/rollout_participant.hpp>

namespace daleshelf
{

/// Needs of a request at engines whose slots and memory are modelled.
struct headroom_needs
{
    std::int64_t memory_tokens = 0;   ///< that it occupies at its expected end
    std::int64_t memory_capacity = 0; ///< of an engine, in tokens
    absl::Time decided_at;            ///< time of the choice
};

/// A request for which an upstream is to be selected.
struct choice_request
{
    service_name service;
    bool is_engine = false;
    const request_facts* facts = nullptr;
    engine_estimate engine; ///< speed of the service's engines
    /// Nothing: neither slots nor memory of the service's engines are modelled.
    std::optional<headroom_needs> headroom;
    /// The version under roll-out that gets the request; nothing: the versions
    /// in use.
    std::optional<canary_target> canary;
    /// The version that has begun the request's stream: events of two versions
    /// do not fit together. Nothing: any version in use.
    std::optional<version_name> stream_version;
    absl::flat_hash_set<upstream_id> excluded; ///< already attempted
    /// Halls in which an attempt broke: the whole hall may be cut off.
    absl::flat_hash_set<hall_id> avoided_halls;
    /// An upstream crashed during an attempt of the request, so it prefers
    /// upstreams that run few other requests.
    bool is_suspect = false;
    /// Upstreams that run other suspect requests. A crash there could not be
    /// attributed to one of them.
    absl::flat_hash_set<upstream_id> suspected_at;
};

/// Estimate of the work of an upstream for a prompt, and of the work before it.
struct expected_work
{
    double certain_tokens = 0;     ///< not cached: need prefill
    double doubtful_tokens = 0;    ///< possibly cached for another host
    double ahead_tokens = 0;       ///< unread tokens of this host's requests
    double peers_ahead_tokens = 0; ///< unread tokens of other hosts' requests
    std::int64_t running = 0;      ///< requests in flight at the upstream
    std::int64_t expected_tokens = 0; ///< expected prefill of the prompt
};

/// Selects the upstream with the least expected work before the request's first
/// event. The work consists of what this host has in flight there, what its
/// peers report to have in flight, and the prompt tokens that need prefill. For
/// prompts that are not known to be cached anywhere, a rendezvous hash makes
/// all hosts prefer the same upstream. Upstreams that failed recently are
/// avoided for a while.
class server_choice
{
public:
    /// @param directory listed upstreams; must outlive this object
    /// @param own_hall hall of this host
    /// @param seed of the random numbers that break ties, and of this host's
    /// selection of upstreams for requests without a prompt
    server_choice(const server_directory& directory, hall_id own_hall,
                  std::uint64_t seed, const decision_policy& policy = {});

    /// @return the selected upstream, or null if none may get the request
    [[nodiscard]] const server_entry* choose(const choice_request& request,
                                             absl::Time now);

    /// @return expected time to the request's first event at the upstream, in
    /// ms: the wait for a free slot, prefill that is queued before the request,
    /// and prefill of its own prompt
    [[nodiscard]] double expected_first_ms(const server_entry& server,
                                           const choice_request& request) const;

    /// Records that a request is sent to the upstream. All state about an
    /// upstream belongs to its newest incarnation: this method and those below
    /// record nothing for an earlier one.
    /// @param cache_tokens capacity of the upstream's prefix cache
    /// @return estimate of the upstream's work
    expected_work begin_attempt(const upstream_incarnation& server,
                                const choice_request& request,
                                std::int64_t cache_tokens);

    /// Records that the prefill of an attempt's prompt is over.
    /// @param tokens `expected_tokens` that begin_attempt() returned
    void end_prefill(const upstream_incarnation& server, std::int64_t tokens);

    /// Records that an attempt is no longer in flight at the upstream.
    /// @param memory_tokens those that the attempt's request has claimed
    void end_attempt(const upstream_incarnation& server,
                     std::int64_t memory_tokens = 0);

    /// Updates the upstream's health with the outcome of an attempt.
    void record_outcome(const upstream_incarnation& server,
                        attempt_outcome outcome, absl::Time now);

    /// Discards the failures recorded since a time, because this host's own
    /// links were cut then.
    void discard_failures(absl::Time since);

    /// Sends the upstream nothing until a time, since it asked this host to
    /// back off. Only a new incarnation ends the back-off earlier; a
    /// successful response, a request for a shorter back-off, or a temporary
    /// removal from the list does not.
    void set_back_off(const upstream_incarnation& server, absl::Time until,
                      absl::Time now);

    /// Sets whether the upstream crashes when it rejects many requests. Such an
    /// upstream gets no more requests than it runs concurrently.
    void set_rejects_safely(const upstream_incarnation& server,
                            bool rejects_safely);

    /// Passes over the upstream until a time, since its rate limit is used up.
    void pass_over(const upstream_incarnation& server, absl::Time until);

    /// @return the service's upstreams that are passed over now
    [[nodiscard]] std::vector<upstream_id>
    passed_over(const service_name& service, absl::Time now) const;

    /// @return earliest end of a back-off, if all usable upstreams of the
    /// service have asked this host to back off; otherwise nothing
    [[nodiscard]] std::optional<absl::Time>
    earliest_back_off_end(const service_name& service, absl::Time now) const;

    /// Discards all state of an upstream that has restarted.
    void reset_server(const upstream_id& server);

    /// Discards the state of upstreams that are no longer listed, except
    /// back-offs and the load of requests in flight.
    void drop_unlisted();

    /// @return loads of this host's requests and of its peers'
    [[nodiscard]] upstream_load_table& loads()
    {
        return m_loads;
    }

    [[nodiscard]] const upstream_load_table& loads() const
    {
        return m_loads;
    }

    /// @return load of all hosts' requests in flight at an upstream, as far as
    /// known; without that of peers if the policy does not count it
    [[nodiscard]] server_load total_load(const upstream_id& server) const;

    /// @return observed speeds of upstreams
    [[nodiscard]] speed_table& speeds()
    {
        return m_speeds;
    }

    [[nodiscard]] const speed_table& speeds() const
    {
        return m_speeds;
    }

private:
    [[nodiscard]] bool is_superseded(const upstream_incarnation& server) const;
    [[nodiscard]] absl::Time back_off_end(const upstream_id& server) const;
    [[nodiscard]] bool has_room(const server_entry& server) const;
    [[nodiscard]] bool is_passed_over(const upstream_id& server,
                                      absl::Time now) const;
    /// An upstream and its cost for a request.
    struct priced_server
    {
        const server_entry* server = nullptr;
        double cost = std::numeric_limits<double>::infinity();
    };

    [[nodiscard]] std::vector<hashed_server>
    candidates(const choice_request& request) const;
    [[nodiscard]] std::vector<hashed_server>
    highest_ranked(std::vector<hashed_server> servers,
                   const choice_request& request, std::size_t count) const;
    [[nodiscard]] std::size_t
    compared_count(const choice_request& request) const;
    [[nodiscard]] bool lacks_room(const priced_server& chosen,
                                  const choice_request& request) const;
    [[nodiscard]] priced_server
    cheapest(const std::vector<hashed_server>& servers,
             const choice_request& request, const upstream_id& preferred,
             absl::Time now);
    [[nodiscard]] bool routes_by_prompt(const choice_request& request) const;
    double cost_of(const server_entry& server, const choice_request& request,
                   const upstream_id& preferred, absl::Time now);
    [[nodiscard]] double engine_cost(const server_entry& server,
                                     const choice_request& request,
                                     const upstream_id& preferred) const;
    [[nodiscard]] double call_cost(const server_entry& server) const;
    [[nodiscard]] engine_wait wait_at(const server_entry& server,
                                      const choice_request& request,
                                      const expected_work& work) const;
    [[nodiscard]] expected_work
    estimate_work(const upstream_id& server, const choice_request& request,
                  const upstream_id& preferred) const;
    [[nodiscard]] server_load peers_load(const upstream_id& server) const;
    [[nodiscard]] upstream_id
    rendezvous_server(const choice_request& request) const;

    const server_directory& m_directory;
    hall_id m_own_hall;
    decision_policy m_policy;
    std::uint64_t m_subset_key; ///< ranks upstreams for requests without prompt
    absl::BitGen m_random;
    upstream_load_table m_loads;
    upstream_health m_health;
    speed_table m_speeds;
    absl::flat_hash_map<upstream_id, absl::Time> m_back_off_ends;
    absl::flat_hash_map<upstream_id, absl::Time> m_passed_over; ///< until when
    /// Upstreams that crash when they reject many requests.
    absl::flat_hash_set<upstream_id> m_brittle;
    absl::flat_hash_map<upstream_id, prefix_cache_estimate> m_prefix_caches;
};

} // namespace daleshelf
