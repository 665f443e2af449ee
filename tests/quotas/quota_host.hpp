/// @file
/// A simulated host: the product's quota and the states that it sends to peers.
#pragma once

#include "fleet_model.hpp"

#include <peers/host_state.hpp>
#include <quotas/shared_quota.hpp>
#include <set>

namespace daleshelf
{

/// Behaves like the gateway as far as quotas are concerned.
class quota_host
{
public:
    struct identity
    {
        host_id name;
        hall_id hall;
        incarnation host_incarnation;
        bool is_first_start = false;
    };

    inline static const workspace_id workspace{"studio"};

    quota_host(fleet_model& model, identity self);

    void start();

    /// Starts a planned shutdown, like the gateway's.
    void stop();

    void receive(const std::string& bytes);

    /// Requests a cost.
    /// @param on_result called with whether the request is within the quota
    void take(double cost, std::function<void(bool)> on_result);

private:
    struct pending_claim
    {
        quota_claim claim;
        std::function<void(bool)> on_result;
    };

    void read_host_list();
    void tick();
    void send_state();
    void receive_state(const host_state& state);
    void continue_claim(const std::shared_ptr<pending_claim>& unfinished);
    void send(const addressed_quota_message& message);

    fleet_model& m_model;
    identity m_self;
    shared_quota m_quota;
    bool m_is_stopping = false;
    std::set<host_id> m_known;
    host_id m_last_recipient;
    std::map<std::int64_t, std::shared_ptr<pending_claim>> m_pending_claims;
};

} // namespace daleshelf
