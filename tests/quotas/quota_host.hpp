/// @file
/// One host of the model: the product's quota and what it tells its peers.
#pragma once

#include "fleet_model.hpp"

#include <peers/host_state.hpp>
#include <quotas/shared_quota.hpp>
#include <set>

namespace daleshelf
{

/// Does as the gateway does, as far as quotas go.
class quota_host
{
public:
    struct identity
    {
        host_id name;
        hall_id hall;
        incarnation started;
        bool is_first_start = false;
    };

    inline static const workspace_id workspace{"studio"};

    quota_host(fleet_model& model, identity self);

    void start();

    /// Begins its planned end, as the gateway's.
    void stop();

    void receive(const std::string& bytes);

    /// @param answer called with whether the request is within the quota
    void take(double cost, std::function<void(bool)> answer);

private:
    struct waiting_claim
    {
        quota_claim claim;
        std::function<void(bool)> answer;
    };

    void list();
    void tick();
    void send_state();
    void hear(const host_state& state);
    void go_on(const std::shared_ptr<waiting_claim>& waiting);
    void send(const addressed_quota_message& message);

    fleet_model& m_model;
    identity m_self;
    shared_quota m_quota;
    bool m_is_stopping = false;
    std::set<host_id> m_known;
    host_id m_last_told;
    std::map<std::int64_t, std::shared_ptr<waiting_claim>> m_waiting;
};

} // namespace daleshelf
