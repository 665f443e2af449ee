#include "request_machine.hpp"

#include "retry_decision.hpp"

#include <algorithm>
#include <base/http_status.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

} // namespace

request_machine::request_machine(request_description description,
                                 std::int64_t max_attempts)
    : m_description(std::move(description)), m_max_attempts(max_attempts)
{
}

request_actions request_machine::start()
{
    return start_next_attempt();
}

bool request_machine::is_current(const attempt_id& attempt) const
{
    return !m_is_ended && attempt == m_attempt;
}

attempt_id request_machine::allocate_attempt_id()
{
    ++m_attempts;
    m_attempt =
        attempt_id(m_description.id.value() + "." + std::to_string(m_attempts));
    return m_attempt;
}

request_actions request_machine::start_next_attempt()
{
    const bool is_retry = m_attempts > 0;
    m_stream_id.clear();
    m_upstream = upstream_id();
    m_is_dispatched = false;
    m_is_resumed = false;
    return {start_attempt{allocate_attempt_id(), is_retry}};
}

request_actions request_machine::fail(request_error error)
{
    m_is_ended = true;
    m_error = error;
    return {fail_request{std::move(error)}};
}

verdict request_machine::run() const
{
    if (m_answer.next() > token_position(0))
    {
        return verdict::ran;
    }
    return m_is_dispatched || m_had_ambiguous_attempt ? verdict::may_have_run
                                                      : verdict::not_run;
}

void request_machine::set_upstream(const attempt_id& attempt,
                                   const upstream_id& upstream)
{
    if (!is_current(attempt))
    {
        return;
    }
    m_upstream = upstream;
    m_tried_upstreams.insert(upstream);
    // From here on, bytes may be sent; only the result of the attempt can
    // show that none were.
    m_is_dispatched = true;
}

request_actions request_machine::on_not_dispatched(const attempt_id& attempt,
                                                   const request_error& error)
{
    if (!is_current(attempt))
    {
        return {};
    }
    return fail(request_error(error.status(), error.code(), error.what(), run(),
                              error.retry_after()));
}

void request_machine::on_stream_id(const attempt_id& attempt,
                                   const std::string& stream_id)
{
    if (is_current(attempt))
    {
        m_stream_id = stream_id;
    }
}

request_actions request_machine::on_token(const attempt_id& attempt,
                                          token_position position,
                                          const std::string& text)
{
    if (!is_current(attempt) || !m_answer.add(position, text))
    {
        return {};
    }
    return {deliver_token{position}};
}

request_actions request_machine::on_finish(const attempt_id& attempt,
                                           token_position end,
                                           const std::string& reason,
                                           const answer_usage& usage)
{
    // Ignores an end that does not match the tokens received so far.
    if (!is_current(attempt) || end != m_answer.next())
    {
        return {};
    }
    m_is_ended = true;
    m_finish_reason = reason;
    m_usage.prompt_tokens = usage.prompt_tokens;
    m_usage.completion_tokens = m_answer.next().value();
    m_usage.cached_tokens = usage.cached_tokens;
    m_usage.prefilled_tokens += usage.prefilled_tokens;
    return {complete_request{reason}};
}

request_actions request_machine::on_attempt_ended(const attempt_id& attempt,
                                                  const attempt_result& result,
                                                  bool is_retry_allowed)
{
    if (!is_current(attempt))
    {
        return {};
    }
    using outcome = attempt_result::outcome;
    m_is_dispatched = false;
    m_had_ambiguous_attempt = m_had_ambiguous_attempt || !result.has_not_run();
    if (result.what == outcome::rejected)
    {
        return fail(request_error(result.status, "rejected_by_upstream",
                                  result.message, run()));
    }
    // 1. The stream may still run there: resume it after the last token.
    const bool is_broken =
        result.what == outcome::broken || result.what == outcome::completed;
    if (is_broken && !m_stream_id.empty() && !m_is_resumed &&
        m_attempts < m_max_attempts)
    {
        ++m_attempts;
        m_is_resumed = true;
        m_attempt = attempt_id(m_description.id.value() + "." +
                               std::to_string(m_attempts));
        return {
            resume_stream{m_attempt, m_upstream, m_stream_id, m_answer.next()}};
    }
    return retry_after_failure(result, is_retry_allowed);
}

request_actions
request_machine::retry_after_failure(const attempt_result& result,
                                     bool is_retry_allowed)
{
    // 2. Retry elsewhere if the request can be sent again.
    const auto error =
        find_retry_obstacle(result, m_description.repeats, run(),
                            is_retry_allowed && m_attempts < m_max_attempts);
    return error ? fail(*error) : start_next_attempt();
}

request_actions request_machine::resume()
{
    m_is_resumed = true;
    return {resume_stream{allocate_attempt_id(), m_upstream, m_stream_id,
                          m_answer.next()}};
}

request_progress request_machine::progress(token_position from) const
{
    request_progress snapshot;
    snapshot.from = from;
    for (auto position = from; position < m_answer.next();
         position = position.next())
    {
        snapshot.tokens.emplace_back(m_answer.token(position));
    }
    snapshot.upstream = m_upstream;
    snapshot.stream_id = m_stream_id;
    snapshot.may_have_run = run() != verdict::not_run;
    snapshot.attempts = m_attempts;
    snapshot.is_complete = m_is_ended && !m_error;
    snapshot.finish_reason = m_finish_reason;
    snapshot.usage = m_usage;
    snapshot.error = m_error;
    return snapshot;
}

request_actions request_machine::on_progress(const request_progress& progress)
{
    if (m_is_ended)
    {
        return {};
    }
    // 1. Append new tokens; ignore those after a gap until it is filled.
    request_actions actions;
    auto position = progress.from;
    for (const auto& token : progress.tokens)
    {
        if (m_answer.add(position, token))
        {
            actions.emplace_back(deliver_token{position});
        }
        position = position.next();
    }
    // 2. Update the upstream, the stream and whether it may have run.
    m_upstream = progress.upstream;
    m_stream_id = progress.stream_id;
    m_had_ambiguous_attempt = m_had_ambiguous_attempt || progress.may_have_run;
    m_attempts = std::max(m_attempts, progress.attempts);
    m_usage = progress.usage;
    // 3. End with the error, or once no token is missing.
    if (progress.error)
    {
        for (auto& action : fail(*progress.error))
        {
            actions.push_back(std::move(action));
        }
    }
    else if (progress.is_complete && position == m_answer.next())
    {
        m_is_ended = true;
        m_finish_reason = progress.finish_reason;
        actions.emplace_back(complete_request{m_finish_reason});
    }
    return actions;
}

request_actions request_machine::take_over(takeover_cause cause)
{
    // docs/design/requests.md, "Taking over".
    if (m_is_ended)
    {
        return {};
    }
    // 1. The stream may still run: resuming it does not run it again.
    if (!m_stream_id.empty() && !m_upstream.empty())
    {
        return resume();
    }
    // 2. Else send it if it is repeatable, or if the owner did not and will
    //    not send it: a suspended owner can still send it later.
    const bool is_unsent =
        cause == takeover_cause::relinquished && run() == verdict::not_run;
    if (is_unsent || m_description.repeats == repeatability::repeatable)
    {
        return start_next_attempt();
    }
    return fail(request_error(http_status::bad_gateway, "owner_lost",
                              "the host that ran the request is gone and it "
                              "may not be repeated",
                              verdict::may_have_run));
}

request_actions request_machine::on_upstream_leaving()
{
    const bool is_repeatable =
        m_description.repeats == repeatability::repeatable;
    if (m_is_ended || m_upstream.empty() || !is_repeatable)
    {
        return {};
    }
    m_had_ambiguous_attempt = true;
    request_actions actions{cancel_attempt{m_attempt}};
    for (auto& action : start_next_attempt())
    {
        actions.push_back(std::move(action));
    }
    return actions;
}

request_actions request_machine::on_deadline()
{
    if (m_is_ended)
    {
        return {};
    }
    const auto attempt = m_attempt;
    auto actions =
        fail(request_error(http_status::gateway_timeout, "deadline_exceeded",
                           "the deadline has passed", run()));
    actions.push_back(cancel_attempt{attempt});
    return actions;
}

} // namespace daleshelf
