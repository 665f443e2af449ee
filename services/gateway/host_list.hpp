/// @file
/// The hosts of the fleet, as the platform's store lists them.
#pragma once

#include "gateway_state.hpp"
#include "http_call.hpp"

#include <functional>
#include <optional>
#include <peers/host_state.hpp>

namespace daleshelf
{

/// Tells the store where this host is, and learns from it where the others
/// are.
class host_list
{
public:
    using finder = std::function<void(const host_address& host)>;

    /// @param found called with each host that is listed
    host_list(gateway_state& state, finder found);

    /// Ends once this host is in the list, and the list was read after it.
    awaitable<void> publish_self();

private:
    awaitable<bool> add_self(http_caller& caller);
    awaitable<std::optional<bool>> list_hosts(http_caller& caller);
    void add_listed(const platform::keyed_record& record);

    gateway_state& m_state;
    finder m_found;
};

} // namespace daleshelf
