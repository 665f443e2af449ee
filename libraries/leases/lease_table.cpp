#include "lease_table.hpp"

#include <base/json.hpp>

namespace daleshelf
{

namespace
{

constexpr std::int64_t record_format = 1;

} // namespace

std::string lease_proposal::to_record() const
{
    return boost::json::serialize(
        boost::json::object{{"format", record_format},
                            {"lease", name.value()},
                            {"holder", holder.value()},
                            {"started", started.value()},
                            {"previous", previous.value()},
                            {"release", is_release}});
}

std::optional<lease_proposal>
lease_proposal::from_record(const std::string& data)
{
    try
    {
        const auto fields = parse_object(data);
        if (require_integer(fields, "format") != record_format)
        {
            return std::nullopt;
        }
        lease_proposal read;
        read.name = lease_name(require_string(fields, "lease"));
        read.holder = host_id(require_string(fields, "holder"));
        read.started = incarnation(require_integer(fields, "started"));
        read.previous = fencing_token(require_integer(fields, "previous"));
        read.is_release = find_boolean(fields, "release").value_or(false);
        return read;
    }
    catch (const json_error&)
    {
        return std::nullopt;
    }
}

bool lease_table::apply(log_offset offset, const std::string& data)
{
    const auto proposal = lease_proposal::from_record(data);
    if (!proposal)
    {
        return false;
    }
    const auto found = m_grants.find(proposal->name);
    const auto present =
        found == m_grants.end() ? fencing_token(-1) : found->second.token;
    if (present != proposal->previous)
    {
        return false;
    }
    m_grants[proposal->name] = {proposal->holder, proposal->started, offset,
                                proposal->is_release};
    return true;
}

std::optional<lease_grant> lease_table::find(const lease_name& name) const
{
    const auto found = m_grants.find(name);
    if (found == m_grants.end())
    {
        return std::nullopt;
    }
    return found->second;
}

} // namespace daleshelf
