#include "usage_counts.hpp"

#include "json.hpp"

namespace daleshelf
{

boost::json::object to_json(const tenant_counts& counts)
{
    boost::json::object object;
    for (const auto& [tenant, count] : counts)
    {
        object[tenant.value()] = count;
    }
    return object;
}

tenant_counts tenant_counts_from_json(const boost::json::object& object)
{
    tenant_counts counts;
    for (const auto& item : object)
    {
        counts[workspace_id(std::string(item.key()))] =
            require_integer(object, item.key());
    }
    return counts;
}

} // namespace daleshelf
