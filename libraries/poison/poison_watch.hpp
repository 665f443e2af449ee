/// @file
/// Which requests end servers; free of I/O. See docs/design/poison.md.
#pragma once

#include "answered_shapes.hpp"
#include "poison_record.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <vector>

namespace daleshelf
{

/// How sure one must be, and for how long a request is refused then.
struct poison_options
{
    /// Logarithm of the odds: one innocent request in 10,000 is refused.
    double proof = 9.2;
    /// After so many ends a request that could not be told from another that
    /// was there each time is refused as well.
    std::size_t most_ends = 3;
    /// Ends within this time of one another may have one cause: the processes
    /// of a machine or hall that is lost end within about a quarter second.
    absl::Duration storm = absl::Milliseconds(500);
    /// Within this time after an end, what all hosts saw then has come: four
    /// steps of 50 ms.
    absl::Duration settle = absl::Milliseconds(250);
    /// Ends that count towards how often servers end anyway.
    absl::Duration memory = absl::Seconds(60);
    /// A server ends by itself once in this time: reclaimable machines stay for
    /// longer.
    absl::Duration usual_life = absl::Minutes(10);
    /// A request that ends servers is seldom answered: once in twenty.
    double answered_odds = 3;
    /// When it is tried again; twice as long each time. A server and its cache
    /// are back within some 15 s: that is an eighth of one server.
    absl::Duration first_trial = absl::Minutes(2);
    absl::Duration longest_trial = absl::Hours(1);
    /// Before a claimed trial is used, all hosts have heard of the claim.
    absl::Duration claim_time = absl::Milliseconds(500);
    /// After which a trial that brought nothing counts as lost.
    absl::Duration trial_time = absl::Seconds(30);
    /// Records of 0.3 KB.
    std::size_t most_records = 512;
    /// Shapes of 0.1 KB that were answered here: half a minute of 120 requests
    /// a second, each of another one.
    std::size_t most_answered = 4096;
};

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
        : m_options(options), m_answered(options.most_answered)
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
    void make_room();
    void note_global_end(const server_life& life, absl::Time at);
    void forget_old(absl::Time now);
    void drop(const request_print& print);
    void tell(poison_record& record, absl::Time now);
    [[nodiscard]] double chance_of(const poison_record& record,
                                   const server_end& end,
                                   std::size_t servers) const;
    [[nodiscard]] poison_record settled_part(const poison_record& record,
                                             absl::Time now) const;
    [[nodiscard]] bool is_certain(const poison_record& seen,
                                  std::size_t servers) const;
    [[nodiscard]] bool came_twice(const poison_record& record) const;
    [[nodiscard]] bool is_told_from_others(const poison_record& record) const;
    [[nodiscard]] bool are_all_ends(const poison_record& record) const;
    [[nodiscard]] bool is_explained(const server_life& life) const;
    void explain_ends();
    [[nodiscard]] bool has_rival(const poison_record& record) const;
    [[nodiscard]] absl::Duration wait_of(const poison_record& record) const;
    [[nodiscard]] bool is_trial_open(const poison_record& record,
                                     absl::Time now) const;

    poison_options m_options;
    absl::flat_hash_map<request_print, poison_record> m_records;
    absl::flat_hash_map<request_shape, std::size_t> m_shapes; ///< records of it
    std::deque<request_print> m_news;
    std::map<server_life, absl::Time> m_ends; ///< of any cause
    std::set<server_life> m_explained; ///< ends at which a proved one was
    absl::Time m_forgotten_at = absl::InfinitePast();
    std::optional<std::int64_t> m_used_trial;
    answered_shapes m_answered;
};

} // namespace daleshelf
