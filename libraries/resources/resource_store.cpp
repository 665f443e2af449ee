#include "resource_store.hpp"

#include "resource_schema.hpp"

#include <base/json.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr std::int64_t record_format = 1;
// At 3,400 changes a day: about a week of outcomes and events.
constexpr std::size_t kept_outcomes = 24000;
constexpr std::size_t kept_events = 24000;

/// @throws json_error if the record is malformed or of another format
std::vector<change> read_record(const std::string& data)
{
    const auto fields = parse_object(data);
    if (require_integer(fields, "format") != record_format)
    {
        throw json_error("unknown format");
    }
    const auto* changes = find_array(fields, "changes");
    if (changes == nullptr)
    {
        throw json_error("no changes");
    }
    std::vector<change> read;
    for (const auto& entry : *changes)
    {
        read.push_back(change_from_json(entry.as_object()));
    }
    return read;
}

} // namespace

std::string to_record(const std::vector<change>& written)
{
    boost::json::array changes;
    for (const auto& item : written)
    {
        changes.push_back(to_json(item));
    }
    return boost::json::serialize(boost::json::object{
        {"format", record_format}, {"changes", std::move(changes)}});
}

resource_store::applied_record resource_store::apply(log_offset offset,
                                                     const std::string& data)
{
    // docs/design/configuration.md, "Replay".
    // 1. An offset is applied once: what came before is never seen again.
    if (offset < m_next)
    {
        return applied_record::behind;
    }
    m_next = offset.next();

    // 2. A record that cannot be read is skipped by every host alike.
    std::vector<change> proposed;
    try
    {
        proposed = read_record(data);
    }
    catch (const std::exception&)
    {
        ++m_skipped;
        return applied_record::skipped;
    }

    // 3. A change id counts once; a doubled append is harmless.
    auto result = applied_record::repeated;
    for (const auto& item : proposed)
    {
        if (!m_outcomes.contains(item.id))
        {
            remember(item.id, settle(offset, item));
            result = applied_record::settled;
        }
    }
    return result;
}

change_outcome resource_store::settle(log_offset offset, const change& proposed)
{
    change_outcome outcome;
    outcome.offset = offset;
    for (const auto& operation : proposed.operations)
    {
        for (auto& fault : find_faults(operation))
        {
            outcome.faults.push_back(std::move(fault));
        }
    }
    if (!outcome.faults.empty())
    {
        outcome.what = change_outcome::state::invalid;
        return outcome;
    }
    bool is_conflict = false;
    for (const auto& operation : proposed.operations)
    {
        if (!operation.expected_version)
        {
            continue;
        }
        const auto found = m_resources.find(operation.key);
        const auto present = found == m_resources.end()
                                 ? resource_version(0)
                                 : found->second->version;
        if (present == *operation.expected_version)
        {
            continue;
        }
        is_conflict = true;
        if (found != m_resources.end())
        {
            outcome.present.push_back(*found->second);
        }
    }
    if (is_conflict)
    {
        outcome.what = change_outcome::state::conflict;
        return outcome;
    }
    for (const auto& operation : proposed.operations)
    {
        put(offset, operation);
    }
    outcome.what = change_outcome::state::accepted;
    return outcome;
}

void resource_store::put(log_offset offset, const change_operation& operation)
{
    if (operation.what == change_operation::action::remove)
    {
        if (m_resources.erase(operation.key) > 0)
        {
            publish({offset, operation.key, nullptr});
        }
        return;
    }
    auto& last = m_last_versions[operation.key];
    last = last.next();
    auto made = std::make_shared<resource>();
    made->key = operation.key;
    made->version = last;
    made->offset = offset;
    made->body = operation.body;
    m_resources[operation.key] = made;
    publish({offset, operation.key, std::move(made)});
}

void resource_store::publish(resource_event event)
{
    m_events.push_back(std::move(event));
    while (m_events.size() > kept_events)
    {
        m_events_from = m_events.front().offset.next();
        m_events.pop_front();
    }
}

void resource_store::remember(const change_id& id, change_outcome outcome)
{
    m_outcomes[id] = std::move(outcome);
    m_outcome_order.push_back(id);
    while (m_outcome_order.size() > kept_outcomes)
    {
        m_outcomes.erase(m_outcome_order.front());
        m_outcome_order.pop_front();
    }
}

std::optional<change_outcome>
resource_store::find_change(const change_id& id) const
{
    const auto found = m_outcomes.find(id);
    if (found == m_outcomes.end())
    {
        return std::nullopt;
    }
    return found->second;
}

boost::json::object resource_store::to_snapshot() const
{
    boost::json::array resources;
    for (const auto& [key, item] : m_resources)
    {
        resources.push_back(to_json(*item));
    }
    boost::json::array versions;
    for (const auto& [key, version] : m_last_versions)
    {
        versions.push_back(boost::json::array{std::string(to_string(key.kind)),
                                              key.name, version.value()});
    }
    // Of an outcome only what is needed to count its change once and to tell
    // an operator what became of it; faults are not kept.
    boost::json::array outcomes;
    for (const auto& id : m_outcome_order)
    {
        const auto& outcome = m_outcomes.at(id);
        outcomes.push_back(boost::json::array{
            id.value(), static_cast<std::int64_t>(outcome.what),
            outcome.offset.value()});
    }
    return {{"format", record_format},
            {"next", m_next.value()},
            {"skipped", m_skipped},
            {"resources", std::move(resources)},
            {"versions", std::move(versions)},
            {"outcomes", std::move(outcomes)}};
}

resource_store resource_store::from_snapshot(const boost::json::object& fields)
{
    if (require_integer(fields, "format") != record_format)
    {
        throw json_error("unknown format");
    }
    resource_store store;
    store.m_next = log_offset(require_integer(fields, "next"));
    store.m_events_from = store.m_next;
    store.m_skipped = require_integer(fields, "skipped");
    for (const auto& entry : fields.at("resources").as_array())
    {
        auto item =
            std::make_shared<resource>(resource_from_json(entry.as_object()));
        store.m_resources[item->key] = std::move(item);
    }
    for (const auto& entry : fields.at("versions").as_array())
    {
        const auto& parts = entry.as_array();
        const std::string name(parts.at(0).as_string());
        const auto kind = resource_kind_from_string(name);
        if (!kind)
        {
            throw json_error("'" + name + "' is not a kind of resource");
        }
        store.m_last_versions[{*kind, std::string(parts.at(1).as_string())}] =
            resource_version(parts.at(2).as_int64());
    }
    for (const auto& entry : fields.at("outcomes").as_array())
    {
        const auto& parts = entry.as_array();
        change_outcome outcome;
        outcome.what =
            static_cast<change_outcome::state>(parts.at(1).as_int64());
        outcome.offset = log_offset(parts.at(2).as_int64());
        store.remember(change_id(std::string(parts.at(0).as_string())),
                       std::move(outcome));
    }
    return store;
}

} // namespace daleshelf
