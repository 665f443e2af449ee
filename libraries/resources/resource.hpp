/// @file
/// Declared resources.
#pragma once

#include <boost/json.hpp>

#include <array>
#include <base/identifiers.hpp>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace daleshelf
{

/// What operators can declare.
enum class resource_kind
{
    workspace,
    model,
    adapter,
    deployment,
    upstream,
    service,
    policy,
};

inline constexpr std::array all_resource_kinds{
    resource_kind::workspace,  resource_kind::model,    resource_kind::adapter,
    resource_kind::deployment, resource_kind::upstream, resource_kind::service,
    resource_kind::policy,
};

/// @return the kind's name in the API
[[nodiscard]] std::string_view to_string(resource_kind kind);

/// @return the kind of that name, or nothing
[[nodiscard]] std::optional<resource_kind>
resource_kind_from_string(std::string_view name);

/// Names one resource.
struct resource_key
{
    resource_kind kind = resource_kind::workspace;
    std::string name;

    friend auto operator<=>(const resource_key&, const resource_key&) = default;
};

/// A resource as it is in force.
struct resource
{
    resource_key key;
    resource_version version; ///< grows by one with each change
    log_offset offset;        ///< of the change that made this version
    boost::json::object body;
};

} // namespace daleshelf
