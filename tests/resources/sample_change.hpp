/// @file
/// A change that tests propose.
#pragma once

#include <optional>
#include <resources/change.hpp>
#include <string>

namespace daleshelf
{

/// @return a change that puts one model
inline change make_change(const std::string& id, const std::string& name,
                          std::optional<std::int64_t> expected_version)
{
    change_operation operation;
    operation.key = {resource_kind::model, name};
    operation.body = {{"weights", "w-" + id}};
    if (expected_version)
    {
        operation.expected_version = resource_version(*expected_version);
    }
    return {change_id(id), {operation}};
}

} // namespace daleshelf
