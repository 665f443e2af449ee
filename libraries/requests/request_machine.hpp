/// @file
/// The life of a generation request, free of I/O: events in, actions out.
#pragma once

#include "answer_text.hpp"
#include "answer_usage.hpp"
#include "attempt_result.hpp"
#include "request_action.hpp"
#include "request_description.hpp"
#include "request_progress.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <base/verdict.hpp>
#include <optional>
#include <string>

namespace daleshelf
{

/// How a copy of a request comes to be its owner.
enum class takeover_cause
{
    relinquished, ///< the owner has handed it over and will not send it
    owner_lost,   ///< nobody knows what the owner may yet do
};

/// Decides attempts, retries and the final answer of one request.
///
/// Not safe for concurrent use. Every attempt has an id of its own, and an
/// event of any attempt but the present one is dropped.
class request_machine
{
public:
    /// @param description what is asked
    /// @param max_attempts attempts in all, resumed streams included
    request_machine(request_description description, std::int64_t max_attempts);

    /// Starts the first attempt.
    [[nodiscard]] request_actions begin();

    /// The present attempt goes to this upstream.
    void set_upstream(const attempt_id& attempt, const upstream_id& upstream);

    /// Nothing could take the present attempt; no byte was sent for it.
    [[nodiscard]] request_actions on_unplaced(const attempt_id& attempt,
                                              const request_error& error);

    /// The upstream has named its stream.
    void on_stream(const attempt_id& attempt, const std::string& stream_id);

    /// A token has come.
    [[nodiscard]] request_actions on_token(const attempt_id& attempt,
                                           token_position position,
                                           const std::string& text);

    /// The upstream has said that the answer ends before `end`.
    [[nodiscard]] request_actions on_finish(const attempt_id& attempt,
                                            token_position end,
                                            const std::string& reason,
                                            const answer_usage& usage);

    /// The present attempt has ended.
    /// @param may_retry whether the retry budget allows another one
    [[nodiscard]] request_actions on_attempt_ended(const attempt_id& attempt,
                                                   const attempt_result& result,
                                                   bool may_retry);

    /// The upstream of the present attempt is leaving and will not end it in
    /// time; goes on elsewhere with the answer so far.
    [[nodiscard]] request_actions on_upstream_leaving();

    /// The deadline has passed.
    [[nodiscard]] request_actions on_deadline();

    /// The owner of this copy has come further. Never takes anything back.
    [[nodiscard]] request_actions on_progress(const request_progress& progress);

    /// This copy becomes the owner: reads on from the stream that runs, or
    /// goes on elsewhere with the answer so far, as far as that is allowed.
    /// @param cause how this copy came to be the owner
    [[nodiscard]] request_actions take_over(takeover_cause cause);

    /// @param from first token wanted
    [[nodiscard]] request_progress progress(token_position from) const;

    /// @return the final answer if it is an error
    [[nodiscard]] const std::optional<request_error>& error() const
    {
        return m_error;
    }

    [[nodiscard]] const request_description& description() const
    {
        return m_description;
    }

    [[nodiscard]] const answer_text& answer() const
    {
        return m_answer;
    }

    [[nodiscard]] const answer_usage& usage() const
    {
        return m_usage;
    }

    [[nodiscard]] const std::string& finish_reason() const
    {
        return m_finish_reason;
    }

    [[nodiscard]] bool is_ended() const
    {
        return m_is_ended;
    }

    /// @return the present attempt
    [[nodiscard]] const attempt_id& attempt() const
    {
        return m_attempt;
    }

    /// @return whether some upstream has been asked to run it
    [[nodiscard]] bool has_begun() const
    {
        return !m_tried.empty() || m_was_ambiguous;
    }

    /// @return upstreams that this request should not go to again
    [[nodiscard]] const absl::flat_hash_set<upstream_id>& tried() const
    {
        return m_tried;
    }

    [[nodiscard]] const upstream_id& upstream() const
    {
        return m_upstream;
    }

    [[nodiscard]] const std::string& stream_id() const
    {
        return m_stream_id;
    }

    /// @return whether the request may have run up to now
    [[nodiscard]] verdict run() const;

private:
    [[nodiscard]] bool is_present(const attempt_id& attempt) const;
    attempt_id new_attempt();
    request_actions resume();
    request_actions next_attempt();
    request_actions fail(request_error error);
    request_actions retry_after_failure(const attempt_result& result,
                                        bool may_retry);

    request_description m_description;
    std::int64_t m_max_attempts;
    std::int64_t m_attempts = 0;
    attempt_id m_attempt;
    upstream_id m_upstream;
    std::string m_stream_id;
    bool m_is_resumed = false; ///< the present attempt reads on a stream
    bool m_is_placed = false;  ///< bytes of the present attempt may have left
    bool m_was_ambiguous = false; ///< an earlier attempt may have run
    bool m_is_ended = false;
    answer_text m_answer;
    answer_usage m_usage;
    std::string m_finish_reason;
    std::optional<request_error> m_error;
    absl::flat_hash_set<upstream_id> m_tried;
};

} // namespace daleshelf
