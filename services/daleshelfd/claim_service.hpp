/// @file
/// Claims of idempotency keys through the platform's log.
#pragma once

#include <claims/claim_replica.hpp>
#include <functional>
#include <map>
#include <platform/log_client.hpp>
#include <string>

namespace daleshelf
{

class control_thread;
class node_state;

/// Does what the claim replica asks for, on the control thread.
class claim_service
{
public:
    using outcome_handler = std::function<void(const claim_outcome&)>;

    /// All arguments must outlive this object.
    /// @param control runs all of this; stopped before this object goes
    /// @param node counts claims
    /// @param log the platform's log
    /// @param stream the stream that holds the claims
    claim_service(control_thread& control, node_state& node, log_client& log,
                  std::string stream);

    /// Starts to follow the stream.
    void start();

    /// Claims a key; may be called from any thread.
    /// @param wanted the claim
    /// @param deadline when the outcome is given at the latest
    /// @param on_outcome called once
    void propose(const claim& wanted, absl::Time deadline,
                 outcome_handler on_outcome);

private:
    void tick();
    void perform(const claim_actions& actions);
    void perform_one(const read_claims& action);
    void perform_one(const append_claims& action);
    void perform_one(const claim_resolved& action);

    control_thread& m_control;
    node_state& m_node;
    log_client& m_log;
    std::string m_stream;
    claim_replica m_replica;
    std::map<request_id, outcome_handler> m_waiting;
};

} // namespace daleshelf
