/// @file
/// What the body of each kind of resource may hold.
#pragma once

#include "change.hpp"

#include <string>
#include <vector>

namespace daleshelf
{

/// Type of one field of a resource's body.
enum class field_type
{
    text,
    whole_number,
    number,
    truth,
    text_list,
};

/// One field of a resource's body.
struct field_rule
{
    std::string_view name;
    field_type type = field_type::text;
    bool is_required = false;
    double least = 0;
    double most = 1e15;
    std::string_view meaning;
    std::vector<std::string> choices = {}; ///< of a text; empty: any
};

/// @return the fields of a kind's body
[[nodiscard]] const std::vector<field_rule>& schema(resource_kind kind);

/// Checks one operation by itself, the same way on every host.
/// @return every fault; empty if there is none
[[nodiscard]] std::vector<resource_fault>
find_faults(const change_operation& operation);

} // namespace daleshelf
