/// @file
/// The hosts of the fleet, as the platform's store lists them.
#pragma once

#include "gateway_state.hpp"
#include "http_call.hpp"

#include <functional>
#include <optional>
#include <peers/host_state.hpp>
#include <string>

namespace daleshelf
{

/// Publishes this host's address in the store and reads the addresses of the
/// other hosts from it.
class host_list
{
public:
    using host_callback = std::function<void(const host_address& host)>;

    /// @param state state of this gateway
    /// @param on_host called with each host that is listed
    host_list(gateway_state& state, host_callback on_host);

    /// Adds this host to the list; returns once the list has been read after
    /// that.
    awaitable<void> publish_self();

private:
    /// This host's record in a list that was read.
    struct own_record
    {
        bool is_listed = false;
        bool is_current = false; ///< with the present address and hall
    };

    void finish(bool was_listed);
    [[nodiscard]] std::string own_value() const;
    awaitable<bool> add_self(http_caller& caller);
    awaitable<std::optional<own_record>> list_hosts(http_caller& caller);
    awaitable<bool> read_added(http_caller& caller);
    void add_listed(const platform::keyed_record& record);

    gateway_state& m_state;
    host_callback m_on_host;
    log_offset m_list_end; ///< hosts added before this offset are known
};

} // namespace daleshelf
