#include "request_codec.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

protocol::RequestError to_wire(const request_error& error)
{
    protocol::RequestError wire;
    wire.set_status(error.status());
    wire.set_code(error.code());
    wire.set_message(error.what());
    wire.set_verdict(static_cast<int>(error.run()));
    wire.set_retry_after_ms(error.retry_after() ? error.retry_after()->count()
                                                : -1);
    return wire;
}

request_error from_wire(const protocol::RequestError& wire)
{
    const auto run = static_cast<verdict>(
        std::clamp(wire.verdict(), 0, static_cast<int>(verdict::ran)));
    std::optional<std::chrono::milliseconds> retry_after;
    if (wire.retry_after_ms() >= 0)
    {
        retry_after = std::chrono::milliseconds(wire.retry_after_ms());
    }
    return {wire.status(), wire.code(), wire.message(), run, retry_after};
}

} // namespace

protocol::RequestDescription to_wire(const request_description& description)
{
    protocol::RequestDescription wire;
    wire.set_id(description.id.value());
    wire.set_workspace(description.workspace.value());
    wire.set_deployment(description.deployment);
    wire.set_engine_model(description.engine_model);
    wire.set_form(static_cast<int>(description.form));
    wire.set_body(description.body);
    wire.set_prefix(description.prefix);
    wire.set_priority(description.priority);
    wire.set_deadline_us(absl::ToUnixMicros(description.deadline));
    wire.set_is_repeatable(description.repeats == repeatability::repeatable);
    wire.set_traceparent(description.traceparent);
    return wire;
}

request_description from_wire(const protocol::RequestDescription& wire)
{
    request_description description;
    description.id = request_id(wire.id());
    description.workspace = workspace_id(wire.workspace());
    description.deployment = wire.deployment();
    description.engine_model = wire.engine_model();
    description.form = wire.form() == static_cast<int>(generation_form::chat)
                           ? generation_form::chat
                           : generation_form::completion;
    description.body = wire.body();
    description.prefix = wire.prefix();
    description.priority = wire.priority();
    description.deadline = absl::FromUnixMicros(wire.deadline_us());
    description.repeats = wire.is_repeatable() ? repeatability::repeatable
                                               : repeatability::once_only;
    description.traceparent = wire.traceparent();
    return description;
}

protocol::RequestProgress to_wire(const request_id& id,
                                  const request_progress& progress)
{
    protocol::RequestProgress wire;
    wire.set_id(id.value());
    wire.set_from(progress.from.value());
    for (const auto& token : progress.tokens)
    {
        wire.add_tokens(token);
    }
    wire.set_upstream(progress.upstream.value());
    wire.set_stream_id(progress.stream_id);
    wire.set_may_have_run(progress.may_have_run);
    wire.set_attempts(progress.attempts);
    wire.set_is_complete(progress.is_complete);
    wire.set_finish_reason(progress.finish_reason);
    wire.set_prompt_tokens(progress.usage.prompt_tokens);
    wire.set_cached_tokens(progress.usage.cached_tokens);
    wire.set_prefilled_tokens(progress.usage.prefilled_tokens);
    if (progress.error)
    {
        *wire.mutable_error() = to_wire(*progress.error);
    }
    return wire;
}

request_progress from_wire(const protocol::RequestProgress& wire)
{
    request_progress progress;
    progress.from = token_position(wire.from());
    progress.tokens.assign(wire.tokens().begin(), wire.tokens().end());
    progress.upstream = upstream_id(wire.upstream());
    progress.stream_id = wire.stream_id();
    progress.may_have_run = wire.may_have_run();
    progress.attempts = wire.attempts();
    progress.is_complete = wire.is_complete();
    progress.finish_reason = wire.finish_reason();
    progress.usage.prompt_tokens = wire.prompt_tokens();
    progress.usage.cached_tokens = wire.cached_tokens();
    progress.usage.prefilled_tokens = wire.prefilled_tokens();
    progress.usage.completion_tokens =
        wire.from() + static_cast<std::int64_t>(wire.tokens_size());
    if (wire.has_error())
    {
        progress.error = from_wire(wire.error());
    }
    return progress;
}

} // namespace daleshelf
