#include "change.hpp"

#include <array>
#include <base/json.hpp>

namespace daleshelf
{

namespace
{

constexpr std::array<std::string_view, 4> state_names{"pending", "accepted",
                                                      "conflict", "invalid"};

resource_key key_from_json(const boost::json::object& fields)
{
    const auto kind = require_string(fields, "kind");
    const auto known = resource_kind_from_string(kind);
    if (!known)
    {
        throw json_error("'" + kind + "' is not a kind of resource");
    }
    return {*known, require_string(fields, "name")};
}

change_operation operation_from_json(const boost::json::object& fields)
{
    change_operation operation;
    operation.key = key_from_json(fields);
    const auto action = find_string(fields, "action").value_or("put");
    if (action != "put" && action != "delete")
    {
        throw json_error("field 'action' must be put or delete");
    }
    if (action == "delete")
    {
        operation.what = change_operation::action::remove;
    }
    if (const auto version = find_integer(fields, "expected_version"))
    {
        operation.expected_version = resource_version(*version);
    }
    if (const auto* body = find_object(fields, "body"))
    {
        operation.body = *body;
    }
    return operation;
}

boost::json::object to_json(const resource_key& key)
{
    return {{"kind", std::string(to_string(key.kind))}, {"name", key.name}};
}

boost::json::object to_json(const change_operation& operation)
{
    auto fields = to_json(operation.key);
    const bool is_put = operation.what == change_operation::action::put;
    fields["action"] = is_put ? "put" : "delete";
    if (operation.expected_version)
    {
        fields["expected_version"] = operation.expected_version->value();
    }
    if (is_put)
    {
        fields["body"] = operation.body;
    }
    return fields;
}

} // namespace

std::string_view to_string(change_outcome::state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

change change_from_json(const boost::json::object& fields)
{
    change read;
    read.id = change_id(require_string(fields, "id"));
    const auto* operations = find_array(fields, "operations");
    if (operations == nullptr || operations->empty())
    {
        throw json_error("field 'operations' must be given, as an array with "
                         "at least one operation");
    }
    for (const auto& entry : *operations)
    {
        if (!entry.is_object())
        {
            throw json_error("field 'operations' must hold objects");
        }
        read.operations.push_back(operation_from_json(entry.get_object()));
    }
    return read;
}

boost::json::object to_json(const change& written)
{
    boost::json::array operations;
    for (const auto& operation : written.operations)
    {
        operations.push_back(to_json(operation));
    }
    return {{"id", written.id.value()}, {"operations", std::move(operations)}};
}

boost::json::object to_json(const resource& shown)
{
    auto fields = to_json(shown.key);
    fields["version"] = shown.version.value();
    fields["offset"] = shown.offset.value();
    fields["body"] = shown.body;
    return fields;
}

boost::json::object to_json(const change_id& id, const change_outcome& outcome)
{
    boost::json::object fields{{"id", id.value()},
                               {"state", std::string(to_string(outcome.what))}};
    if (outcome.what != change_outcome::state::pending)
    {
        fields["offset"] = outcome.offset.value();
    }
    boost::json::array faults;
    for (const auto& fault : outcome.faults)
    {
        auto item = to_json(fault.key);
        item["field"] = fault.field;
        item["message"] = fault.message;
        faults.push_back(std::move(item));
    }
    if (!faults.empty())
    {
        fields["faults"] = std::move(faults);
    }
    boost::json::array present;
    for (const auto& item : outcome.present)
    {
        present.push_back(to_json(item));
    }
    if (!present.empty())
    {
        fields["present"] = std::move(present);
    }
    return fields;
}

resource resource_from_json(const boost::json::object& fields)
{
    resource read;
    read.key = key_from_json(fields);
    read.version = resource_version(require_integer(fields, "version"));
    read.offset = log_offset(require_integer(fields, "offset"));
    const auto* body = find_object(fields, "body");
    if (body == nullptr)
    {
        throw json_error("field 'body' must be given, as an object");
    }
    read.body = *body;
    return read;
}

} // namespace daleshelf
