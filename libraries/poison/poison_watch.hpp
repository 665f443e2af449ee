/// @file
/// Which requests end servers; free of I/O. See docs/design/poison.md.
#pragma once

#include "answered_shapes.hpp"
#include "poison_evidence.hpp"
#include "poison_options.hpp"
#include "poison_probation.hpp"
#include "poison_record.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <vector>

namespace daleshelf
{

/// How sure it is that a request ends servers.
enum class suspicion
{
    none,
    suspect, ///< a server has ended under it
    proved,
};

/// Keeps the evidence, and judges by it: a request is blamed for an end by how
/// unlikely it is that the server ended just then for another reason.
class poison_watch
{
public:
    explicit poison_watch(const poison_options& options)
        : m_options(options)
        , m_evidence(options)
        , m_probation(options)
        , m_answered(options.most_answered)
    {
    }

    /// @return whether a request of that shape may be known; most are not, and
    /// need no print
    [[nodiscard]] bool may_know(request_shape shape) const
    {
        return m_shapes.contains(shape);
    }

    /// Notes that a server ended while a request was there.
    /// @param ran how long it had been there
    void note_end(const suspect_request& request, const server_life& life,
                  absl::Duration ran, absl::Time now);

    /// Notes that a server has answered a request of which nothing is known.
    void note_answered(request_shape shape, const whole_answer& given,
                       absl::Time now)
    {
        m_answered.note(shape, given, now);
    }

    /// Notes that a server has answered a request that is known.
    /// @return whether it had been proved: it is no longer
    bool note_whole(const request_print& print, const whole_answer& given,
                    absl::Time now);

    /// @param servers of the request's service, there now
    /// @return whether the evidence is so strong that no two are to be under
    /// way at once
    [[nodiscard]] bool goes_alone(const request_print& print,
                                  std::size_t servers, absl::Time now) const;

    /// @param servers of the request's service, there now
    /// @return whether it is not to be sent before it is known what other hosts
    /// saw of its last end
    [[nodiscard]] bool must_wait(const request_print& print,
                                 std::size_t servers, absl::Time now) const;

    /// Takes what another host knows.
    /// @return whether it was news
    bool merge(const poison_record& told, absl::Time now);

    /// @param servers of the request's service, there now
    /// @return how sure it is
    suspicion judge(const request_print& print, std::size_t servers,
                    absl::Time now);

    /// @return the strongest evidence that it ends servers: the logarithm of
    /// the odds
    [[nodiscard]] double weight(const poison_record& record,
                                std::size_t servers) const;

    /// @return whether this host may send the proved request once now, to see
    /// whether it still ends servers
    bool may_try(const request_print& print, const host_id& self,
                 absl::Time now);

    /// @return time until the request may be tried again
    [[nodiscard]] absl::Duration time_to_trial(const request_print& print,
                                               absl::Time now) const;

    /// @return what others have not been told of yet, a few at each call
    std::vector<poison_record> take_news(std::size_t most);

    [[nodiscard]] bool has_news() const
    {
        return !m_news.empty();
    }

    /// @return the record, or null
    [[nodiscard]] const poison_record* find(const request_print& print) const;

    /// @return what changed last of all that is known
    [[nodiscard]] std::vector<poison_record> newest(std::size_t most) const;

    /// @return the proved ones
    [[nodiscard]] std::vector<poison_record> proved() const;

    /// @return how many are known, proved or not
    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }

private:
    poison_record& open(const suspect_request& request, absl::Time now);
    bool add_earlier_answer(poison_record& record, absl::Time now);
    void make_room();
    void forget_old(absl::Time now);
    void drop(const request_print& print);
    void tell(poison_record& record, absl::Time now);
    void prove(poison_record& record, absl::Time now);
    void prove_stronger(const poison_record& record, std::size_t servers,
                        absl::Time now);
    [[nodiscard]] poison_record settled_part(const poison_record& record,
                                             absl::Time now) const;
    [[nodiscard]] bool is_certain(const poison_record& seen,
                                  std::size_t servers) const;
    [[nodiscard]] bool came_twice(const poison_record& record) const;
    [[nodiscard]] bool is_told_from_others(const poison_record& record,
                                           const blame& found) const;
    [[nodiscard]] bool has_rival(const poison_record& record) const;

    poison_options m_options;
    poison_evidence m_evidence;
    std::map<request_print, poison_record> m_records;
    absl::flat_hash_map<request_shape, std::size_t> m_shapes; ///< records of it
    std::deque<request_print> m_news;
    absl::Time m_forgotten_at = absl::InfinitePast();
    poison_probation m_probation;
    answered_shapes m_answered;
};

} // namespace daleshelf
