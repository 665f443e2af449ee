/// @file
/// Detection of poison requests, without I/O. See docs/design/poison.md.
#pragma once

#include "answered_shapes.hpp"
#include "poison_evidence.hpp"
#include "poison_options.hpp"
#include "poison_record.hpp"
#include "probe_schedule.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <vector>

namespace daleshelf
{

/// How certain it is that a request crashes upstreams.
enum class suspicion
{
    none,
    suspect, ///< an upstream has crashed under it
    confirmed,
};

/// Collects the evidence and decides by it: each crash under a request counts
/// by how unlikely it is that the upstream crashed then for another reason.
class poison_detector
{
public:
    explicit poison_detector(const poison_options& options)
        : m_options(options)
        , m_evidence(options)
        , m_probe_schedule(options)
        , m_answered(options.shape_limit)
    {
    }

    /// @return whether there are records of that shape; most requests have
    /// none, and need no fingerprint
    [[nodiscard]] bool has_shape(request_shape shape) const
    {
        return m_shapes.contains(shape);
    }

    /// Records that an upstream crashed while it ran a request.
    /// @param age time since the request was sent there
    void record_crash(const suspect_request& request,
                      const server_incarnation& incarnation, absl::Duration age,
                      absl::Time now);

    /// Records a response to a request that has no record.
    void record_shape_response(request_shape shape,
                               const completed_response& response,
                               absl::Time now)
    {
        m_answered.add(shape, response, now);
    }

    /// Records a response to a request; without effect if it has no record.
    /// @return whether this clears a confirmed request
    bool record_response(const request_fingerprint& fingerprint,
                         const completed_response& response, absl::Time now);

    /// @param servers number of usable upstreams of the request's service
    /// @return whether the evidence is strong enough to allow only one attempt
    /// in flight
    [[nodiscard]] bool is_serialized(const request_fingerprint& fingerprint,
                                     std::size_t servers, absl::Time now) const;

    /// @param servers number of usable upstreams of the request's service
    /// @return whether the request must not be sent before other hosts' reports
    /// of its last crash have arrived
    [[nodiscard]] bool must_wait(const request_fingerprint& fingerprint,
                                 std::size_t servers, absl::Time now) const;

    /// Merges a record received from another host.
    /// @return whether this changed the own record
    bool merge(const poison_record& received, absl::Time now);

    /// @param servers number of usable upstreams of the request's service
    /// @return how certain it is that the request crashes upstreams
    suspicion judge(const request_fingerprint& fingerprint, std::size_t servers,
                    absl::Time now);

    /// @return the evidence that the request crashes upstreams: the natural
    /// logarithm of the odds
    [[nodiscard]] double weight(const poison_record& record,
                                std::size_t servers) const;

    /// Claims the next probe of a confirmed request once it is due, or uses the
    /// claim.
    /// @return whether this host may send the request once now
    bool acquire_probe(const request_fingerprint& fingerprint,
                       const host_id& self, absl::Time now);

    /// @return time until the next probe of the request is due
    [[nodiscard]] absl::Duration
    time_to_probe(const request_fingerprint& fingerprint, absl::Time now) const;

    /// @return changed records to gossip, each once; at most `limit`
    std::vector<poison_record> take_unsent(std::size_t limit);

    [[nodiscard]] bool has_unsent() const
    {
        return !m_unsent.empty();
    }

    /// @return the record, or null
    [[nodiscard]] const poison_record*
    find(const request_fingerprint& fingerprint) const;

    /// @return the records that changed last, the newest first
    [[nodiscard]] std::vector<poison_record> newest(std::size_t limit) const;

    /// @return the confirmed records
    [[nodiscard]] std::vector<poison_record> confirmed() const;

    /// @return number of records, confirmed or not
    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }

private:
    poison_record& find_or_create(const suspect_request& request,
                                  absl::Time now);
    bool add_prior_response(poison_record& record, absl::Time now);
    void evict_if_full();
    void expire_old(absl::Time now);
    void remove_record(const request_fingerprint& fingerprint);
    void mark_changed(poison_record& record, absl::Time now);
    void confirm(poison_record& record, absl::Time now);
    void confirm_stronger(const poison_record& record, std::size_t servers,
                          absl::Time now);
    [[nodiscard]] poison_record settled_evidence(const poison_record& record,
                                                 absl::Time now) const;
    [[nodiscard]] bool is_conclusive(const poison_record& seen,
                                     std::size_t servers) const;
    [[nodiscard]] static bool is_disproved(const poison_record& record);
    void clear(poison_record& record, absl::Time now);
    [[nodiscard]] bool recurs(const poison_record& record) const;
    [[nodiscard]] bool
    is_distinguishable(const poison_record& record,
                       const crash_attribution& attribution) const;
    [[nodiscard]] bool has_rival(const poison_record& record) const;

    poison_options m_options;
    poison_evidence m_evidence;
    std::map<request_fingerprint, poison_record> m_records;
    absl::flat_hash_map<request_shape, std::size_t> m_shapes; ///< record counts
    std::deque<request_fingerprint> m_unsent;
    absl::Time m_expired_at = absl::InfinitePast();
    probe_schedule m_probe_schedule;
    answered_shapes m_answered;
};

} // namespace daleshelf
