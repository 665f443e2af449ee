/// @file
/// One machine of the model: the product's quota and what it tells its peers.
#pragma once

#include "fleet_model.hpp"

#include <ingress/token_quota.hpp>
#include <peers/peer_table.hpp>

namespace daleshelf
{

/// Does as `services/gateway/peer_exchange.cpp` does, as far as quotas go.
class quota_machine
{
public:
    struct identity
    {
        host_id name;
        hall_id hall;
        incarnation started;
        bool is_first_start = false;
    };

    inline static const workspace_id tenant{"studio"};

    quota_machine(fleet_model& model, identity self);

    void start();
    void receive(const std::string& bytes);

    /// @param answer called with whether the request is within the quota
    void take(double cost, const std::function<void(bool)>& answer);

private:
    void tick();
    void send_to_some(const std::string& bytes);
    void send_use_notice();
    [[nodiscard]] machine_state own_state();

    fleet_model& m_model;
    identity m_self;
    peer_table m_table;
    token_quota m_quota;
    std::int64_t m_sequence = 0;
    host_id m_last_told;
    std::map<workspace_id, double> m_told_use;
    absl::Time m_tells_history_until = absl::InfinitePast();
};

} // namespace daleshelf
