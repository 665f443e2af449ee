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

request_actions request_machine::begin()
{
    return next_attempt();
}

bool request_machine::is_present(const attempt_id& attempt) const
{
    return !m_is_ended && attempt == m_attempt;
}

attempt_id request_machine::new_attempt()
{
    ++m_attempts;
    m_attempt =
        attempt_id(m_description.id.value() + "." + std::to_string(m_attempts));
    return m_attempt;
}

request_actions request_machine::next_attempt()
{
    const bool is_retry = m_attempts > 0;
    m_stream_id.clear();
    m_upstream = upstream_id();
    m_is_placed = false;
    m_is_resumed = false;
    return {start_attempt{new_attempt(), is_retry}};
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
    return m_is_placed || m_was_ambiguous ? verdict::may_have_run
                                          : verdict::not_run;
}

void request_machine::set_upstream(const attempt_id& attempt,
                                   const upstream_id& upstream)
{
    if (!is_present(attempt))
    {
        return;
    }
    m_upstream = upstream;
    m_tried.insert(upstream);
    // From here on bytes may leave; only the attempt's end can tell that
    // none did.
    m_is_placed = true;
}

request_actions request_machine::on_unplaced(const attempt_id& attempt,
                                             const request_error& error)
{
    if (!is_present(attempt))
    {
        return {};
    }
    return fail(request_error(error.status(), error.code(), error.what(), run(),
                              error.retry_after()));
}

void request_machine::on_stream(const attempt_id& attempt,
                                const std::string& stream_id)
{
    if (is_present(attempt))
    {
        m_stream_id = stream_id;
    }
}

request_actions request_machine::on_token(const attempt_id& attempt,
                                          token_position position,
                                          const std::string& text)
{
    if (!is_present(attempt) || !m_answer.add(position, text))
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
    // An end before a token that is missing here is no end.
    if (!is_present(attempt) || end != m_answer.next())
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
                                                  bool may_retry)
{
    if (!is_present(attempt))
    {
        return {};
    }
    using outcome = attempt_result::outcome;
    m_is_placed = false;
    m_was_ambiguous = m_was_ambiguous || !result.is_not_run();
    if (result.what == outcome::rejected)
    {
        return fail(request_error(result.status, "rejected_by_upstream",
                                  result.message, run()));
    }
    // 1. The stream may still run there: read on from where it broke.
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
    return retry_after_failure(result, may_retry);
}

request_actions
request_machine::retry_after_failure(const attempt_result& result,
                                     bool may_retry)
{
    // 2. Elsewhere, if it may be sent again.
    const auto error =
        find_retry_obstacle(result, m_description.repeats, run(),
                            may_retry && m_attempts < m_max_attempts);
    return error ? fail(*error) : next_attempt();
}

request_actions request_machine::resume()
{
    m_is_resumed = true;
    return {
        resume_stream{new_attempt(), m_upstream, m_stream_id, m_answer.next()}};
}

request_progress request_machine::progress(token_position from) const
{
    request_progress shown;
    shown.from = from;
    for (auto position = from; position < m_answer.next();
         position = position.next())
    {
        shown.tokens.emplace_back(m_answer.token(position));
    }
    shown.upstream = m_upstream;
    shown.stream_id = m_stream_id;
    shown.may_have_run = run() != verdict::not_run;
    shown.attempts = m_attempts;
    shown.is_complete = m_is_ended && !m_error;
    shown.finish_reason = m_finish_reason;
    shown.usage = m_usage;
    shown.error = m_error;
    return shown;
}

request_actions request_machine::on_progress(const request_progress& progress)
{
    if (m_is_ended)
    {
        return {};
    }
    // 1. Tokens that are new; those after a gap wait until it is filled.
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
    // 2. Where it runs, and whether it may have run.
    m_upstream = progress.upstream;
    m_stream_id = progress.stream_id;
    m_was_ambiguous = m_was_ambiguous || progress.may_have_run;
    m_attempts = std::max(m_attempts, progress.attempts);
    m_usage = progress.usage;
    // 3. Its end, once no token is missing.
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
    // 1. The stream may still run: to read on is not to run again.
    if (!m_stream_id.empty() && !m_upstream.empty())
    {
        return resume();
    }
    // 2. Else it may be sent if it may be repeated, or if it was not sent and
    //    never will be: an owner that is only frozen may yet send it.
    const bool is_unsent =
        cause == takeover_cause::relinquished && run() == verdict::not_run;
    if (is_unsent || m_description.repeats == repeatability::repeatable)
    {
        return next_attempt();
    }
    return fail(request_error(http_status::bad_gateway, "owner_lost",
                              "the host that ran the request is gone and it "
                              "may not be repeated",
                              verdict::may_have_run));
}

request_actions request_machine::on_upstream_leaving()
{
    const bool may_repeat = m_description.repeats == repeatability::repeatable;
    if (m_is_ended || m_upstream.empty() || !may_repeat)
    {
        return {};
    }
    m_was_ambiguous = true;
    request_actions actions{cancel_attempt{m_attempt}};
    for (auto& action : next_attempt())
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
