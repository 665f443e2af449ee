#include "claim_service.hpp"

#include "control_thread.hpp"
#include "node_state.hpp"

#include <absl/time/clock.h>

#include <base/digest.hpp>
#include <utility>
#include <variant>

namespace daleshelf
{

namespace
{

constexpr std::chrono::milliseconds long_poll{2000};
constexpr std::chrono::milliseconds no_wait{0};
constexpr absl::Duration tick_interval = absl::Milliseconds(100);

} // namespace

claim_service::claim_service(control_thread& control, node_state& node,
                             log_client& log, std::string stream)
    : m_control(control)
    , m_node(node)
    , m_log(log)
    , m_stream(std::move(stream))
    , m_replica(claim_options(), stable_hash(node.host().value()))
{
}

void claim_service::start()
{
    m_control.post([this] { tick(); });
}

void claim_service::tick()
{
    perform(m_replica.on_tick(absl::Now()));
    m_control.after(tick_interval, [this] { tick(); });
}

void claim_service::perform(const claim_actions& actions)
{
    for (const auto& action : actions)
    {
        std::visit([this](const auto& one) { perform_one(one); }, action);
    }
}

void claim_service::perform_one(const read_claims& action)
{
    m_log.read(m_stream, action.from, action.is_long_poll ? long_poll : no_wait,
               [this](log_read_result result)
               {
                   m_control.post(
                       [this, result = std::move(result)]
                       {
                           perform(m_replica.on_records(result, absl::Now()));
                           // The next read need not wait for a tick.
                           perform(m_replica.on_tick(absl::Now()));
                       });
               });
}

void claim_service::perform_one(const append_claims& action)
{
    m_node.metrics()
        .find_counter("daleshelf_claim_appends_total",
                      "Appends to the stream of claims.")
        .add();
    m_log.append(m_stream, action.data,
                 [this](const log_append_result& result)
                 {
                     m_control.post(
                         [this, result]
                         { m_replica.on_appended(result, absl::Now()); });
                 });
}

void claim_service::perform_one(const claim_resolved& action)
{
    const auto found = m_waiting.find(action.request);
    if (found == m_waiting.end())
    {
        return;
    }
    const auto handler = std::move(found->second);
    m_waiting.erase(found);
    handler(action.outcome);
}

void claim_service::propose(const claim& wanted, absl::Time deadline,
                            outcome_handler on_outcome)
{
    m_node.metrics()
        .find_counter("daleshelf_claims_total",
                      "Idempotency keys that callers have sent.")
        .add();
    m_control.post(
        [this, wanted, deadline, handler = std::move(on_outcome)]
        {
            const auto known = m_replica.propose(wanted, deadline, absl::Now());
            if (known)
            {
                handler(*known);
                return;
            }
            m_waiting[wanted.request] = handler;
            perform(m_replica.on_tick(absl::Now()));
        });
}

} // namespace daleshelf
