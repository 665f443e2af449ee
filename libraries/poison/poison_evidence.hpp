/// @file
/// What the ends of servers say about one request.
#pragma once

#include "crash_cover.hpp"
#include "poison_options.hpp"
#include "poison_record.hpp"

#include <map>
#include <set>
#include <vector>

namespace daleshelf
{

/// How strongly a request is blamed.
struct blame
{
    std::size_t ends = 0; ///< that nothing proved explains better
    double weight = 0;    ///< logarithm of the odds, by these ends and answers
    double strength = 0;  ///< logarithm of the odds, by all ends alone
};

/// Weighs ends: a request is blamed for one by how unlikely it is that the
/// server ended just then for another reason. See docs/design/poison.md.
class poison_evidence
{
public:
    explicit poison_evidence(const poison_options& options)
        : m_options(options), m_cover(options.age_spread)
    {
    }

    /// Records a server crash of any cause; keeps the earliest reported time.
    void note(const server_life& life, absl::Time at);

    /// Forgets what ended before a time.
    void forget_before(absl::Time oldest);

    /// Sets which requests are proved: ends at which they were say little about
    /// others.
    void set_proved(std::vector<poison_record> proved);

    /// @param servers of the request's service, there now
    [[nodiscard]] blame weigh(const poison_record& record,
                              std::size_t servers) const;

    /// @return whether every recent crash was under this request or is
    /// explained by a confirmed one
    [[nodiscard]] bool are_all_ends(const poison_record& record) const;

    /// @return whether confirmed requests explain each crash under this one,
    /// confirmed itself or not
    [[nodiscard]] bool is_explained_by_others(const poison_record& record) const
    {
        return m_cover.explains(record);
    }

private:
    [[nodiscard]] bool is_explained(const server_life& life) const;
    [[nodiscard]] bool is_explained_better(const server_life& life,
                                           const poison_record& record,
                                           double strength,
                                           std::size_t servers) const;
    [[nodiscard]] double strength_of(const poison_record& record,
                                     std::size_t servers) const;
    [[nodiscard]] double chance_of(const poison_record& record,
                                   const server_end& end,
                                   std::size_t servers) const;

    poison_options m_options;
    std::map<server_life, absl::Time> m_ends; ///< of any cause
    std::vector<poison_record> m_proved;
    crash_cover m_cover;
    std::set<server_life> m_explained; ///< ends at which one of them was
};

} // namespace daleshelf
