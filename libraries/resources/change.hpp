/// @file
/// Changes of declared resources and what became of them.
#pragma once

#include "resource.hpp"

#include <base/identifiers.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// One resource to put or delete.
struct change_operation
{
    enum class action
    {
        put,
        remove,
    };

    action what = action::put;
    resource_key key;
    /// The version that the writer has seen, 0 for none; nothing: any.
    std::optional<resource_version> expected_version;
    boost::json::object body; ///< of a put
};

/// Operations that take effect together or not at all.
struct change
{
    change_id id;
    std::vector<change_operation> operations;
};

/// What is wrong with one operation.
struct resource_fault
{
    resource_key key;
    std::string field;
    std::string message;
};

/// What became of a change.
struct change_outcome
{
    enum class state
    {
        pending,  ///< not settled yet
        accepted, ///< in force from `offset` on
        conflict, ///< another change came first
        invalid,  ///< does not fit the schema or the other resources
    };

    state what = state::pending;
    log_offset offset;
    std::vector<resource_fault> faults;
    /// Present versions of the resources in conflict.
    std::vector<resource> present;
};

/// @return the state's name in the API
[[nodiscard]] std::string_view to_string(change_outcome::state state);

/// @param fields a change as operators and the log write it
/// @return the change
/// @throws json_error if it is malformed
[[nodiscard]] change change_from_json(const boost::json::object& fields);

/// @return the change as `change_from_json` reads it
[[nodiscard]] boost::json::object to_json(const change& written);

/// @return the resource as operators read it
[[nodiscard]] boost::json::object to_json(const resource& shown);

/// @param fields a resource as `to_json` writes it
/// @throws json_error if it is malformed
[[nodiscard]] resource resource_from_json(const boost::json::object& fields);

/// @return the outcome as operators read it
[[nodiscard]] boost::json::object to_json(const change_id& id,
                                          const change_outcome& outcome);

} // namespace daleshelf
