/// @file
/// The state machine of a generation request. It does no I/O: it takes events
/// and returns actions.
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

/// Why a replica of a request becomes its owner.
enum class takeover_cause
{
    relinquished, ///< the owner handed it over and will not send it
    owner_lost,   ///< the owner is unreachable and may still send it
};

/// Decides attempts, retries and the final answer of one request.
///
/// Not safe for concurrent use. Each attempt has a unique id; events of other
/// attempts than the current one are ignored.
class request_machine
{
public:
    /// @param description the caller's request
    /// @param max_attempts limit of attempts, resumed streams included
    request_machine(request_description description, std::int64_t max_attempts);

    /// Starts the first attempt.
    [[nodiscard]] request_actions start();

    /// Records the upstream that the current attempt is sent to.
    void set_upstream(const attempt_id& attempt, const upstream_id& upstream);

    /// No upstream was available for the current attempt; no byte was sent.
    [[nodiscard]] request_actions on_not_dispatched(const attempt_id& attempt,
                                                    const request_error& error);

    /// The upstream has sent its stream id.
    void on_stream_id(const attempt_id& attempt, const std::string& stream_id);

    /// A token was received.
    [[nodiscard]] request_actions on_token(const attempt_id& attempt,
                                           token_position position,
                                           const std::string& text);

    /// The upstream has reported that the answer ends before `end`.
    [[nodiscard]] request_actions on_finish(const attempt_id& attempt,
                                            token_position end,
                                            const std::string& reason,
                                            const answer_usage& usage);

    /// The current attempt has ended.
    /// @param is_retry_allowed whether the retry budget allows another one
    [[nodiscard]] request_actions on_attempt_ended(const attempt_id& attempt,
                                                   const attempt_result& result,
                                                   bool is_retry_allowed);

    /// The upstream of the current attempt is leaving before the attempt can
    /// finish; continues elsewhere from the partial answer.
    [[nodiscard]] request_actions on_upstream_leaving();

    /// The deadline has passed.
    [[nodiscard]] request_actions on_deadline();

    /// Merges progress from the owner into this replica. Progress is monotonic:
    /// known tokens are never replaced.
    [[nodiscard]] request_actions on_progress(const request_progress& progress);

    /// This replica becomes the owner: resumes the running stream, or continues
    /// elsewhere from the partial answer if the request can be sent again.
    /// @param cause why this replica becomes the owner
    [[nodiscard]] request_actions take_over(takeover_cause cause);

    /// @param from position of the first token to include
    [[nodiscard]] request_progress progress(token_position from) const;

    /// @return the error if the request has failed
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

    /// @return the current attempt
    [[nodiscard]] const attempt_id& attempt() const
    {
        return m_attempt;
    }

    /// @return whether any attempt may have been sent to an upstream
    [[nodiscard]] bool has_started() const
    {
        return !m_tried_upstreams.empty() || m_had_ambiguous_attempt;
    }

    /// @return upstreams to exclude from further attempts
    [[nodiscard]] const absl::flat_hash_set<upstream_id>&
    tried_upstreams() const
    {
        return m_tried_upstreams;
    }

    [[nodiscard]] const upstream_id& upstream() const
    {
        return m_upstream;
    }

    [[nodiscard]] const std::string& stream_id() const
    {
        return m_stream_id;
    }

    /// @return whether the request has run, or may have run, so far
    [[nodiscard]] verdict run() const;

private:
    [[nodiscard]] bool is_current(const attempt_id& attempt) const;
    attempt_id allocate_attempt_id();
    request_actions resume();
    request_actions start_next_attempt();
    request_actions fail(request_error error);
    request_actions retry_after_failure(const attempt_result& result,
                                        bool is_retry_allowed);

    request_description m_description;
    std::int64_t m_max_attempts;
    std::int64_t m_attempts = 0;
    attempt_id m_attempt;
    upstream_id m_upstream;
    std::string m_stream_id;
    bool m_is_resumed = false;    ///< the current attempt resumes a stream
    bool m_is_dispatched = false; ///< the current attempt may have sent bytes
    bool m_had_ambiguous_attempt = false; ///< an earlier attempt may have run
    bool m_is_ended = false;
    answer_text m_answer;
    answer_usage m_usage;
    std::string m_finish_reason;
    std::optional<request_error> m_error;
    absl::flat_hash_set<upstream_id> m_tried_upstreams;
};

} // namespace daleshelf
