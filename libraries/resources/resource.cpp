#include "resource.hpp"

#include <algorithm>

namespace daleshelf
{

std::string_view to_string(resource_kind kind)
{
    static constexpr std::array<std::string_view, all_resource_kinds.size()>
        names{"workspace", "model",   "adapter", "deployment",
              "upstream",  "service", "policy"};
    return names.at(static_cast<std::size_t>(kind));
}

std::optional<resource_kind> resource_kind_from_string(std::string_view name)
{
    const auto* found = std::find_if(
        all_resource_kinds.begin(), all_resource_kinds.end(),
        [name](resource_kind kind) { return to_string(kind) == name; });
    if (found == all_resource_kinds.end())
    {
        return std::nullopt;
    }
    return *found;
}

} // namespace daleshelf
