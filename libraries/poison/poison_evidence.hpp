/// @file
/// Weighs crashes of upstreams as evidence against a request.
#pragma once

#include "crash_cover.hpp"
#include "poison_options.hpp"
#include "poison_record.hpp"

#include <map>
#include <set>
#include <vector>

namespace daleshelf
{

/// How strongly crashes are attributed to a request.
struct crash_attribution
{
    /// Crashes that no confirmed request explains better.
    std::size_t unexplained_crashes = 0;
    /// Logarithm of the odds, by these crashes and the responses.
    double weight = 0;
    /// Logarithm of the odds, by all crashes alone.
    double crash_weight = 0;
};

/// Weighs crashes: each counts against a request by how unlikely it is that the
/// upstream crashed then for another reason. See docs/design/poison.md.
class poison_evidence
{
public:
    explicit poison_evidence(const poison_options& options)
        : m_options(options), m_cover(options.age_spread)
    {
    }

    /// Records an upstream's crash of any cause; keeps the earliest reported
    /// time.
    void add_crash(const server_incarnation& incarnation, absl::Time at);

    /// Removes crashes from before a time.
    void expire_before(absl::Time oldest);

    /// Sets the confirmed requests; a crash under one of them is weak evidence
    /// against others.
    void set_confirmed_records(std::vector<poison_record> confirmed);

    /// @param servers number of usable upstreams of the request's service
    /// @return the evidence against the request
    [[nodiscard]] crash_attribution weigh(const poison_record& record,
                                          std::size_t servers) const;

    /// @return whether every recent crash was under this request or is
    /// explained by a confirmed one
    [[nodiscard]] bool covers_all_crashes(const poison_record& record) const;

    /// @return whether confirmed requests explain each crash under this one,
    /// confirmed itself or not
    [[nodiscard]] bool is_explained_by_others(const poison_record& record) const
    {
        return m_cover.explains(record);
    }

private:
    [[nodiscard]] bool
    is_explained(const server_incarnation& incarnation) const;
    [[nodiscard]] bool
    is_explained_better(const server_incarnation& incarnation,
                        const poison_record& record, double crash_weight,
                        std::size_t servers) const;
    [[nodiscard]] double crash_weight_of(const poison_record& record,
                                         std::size_t servers) const;
    [[nodiscard]] double coincidence_probability_of(const poison_record& record,
                                                    const server_crash& crash,
                                                    std::size_t servers) const;

    poison_options m_options;
    std::map<server_incarnation, absl::Time> m_crashes; ///< of any cause
    std::vector<poison_record> m_confirmed;
    crash_cover m_cover;
    std::set<server_incarnation> m_explained; ///< under a confirmed one
};

} // namespace daleshelf
