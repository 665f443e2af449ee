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

} // namespace

std::string to_record(const change& written)
{
    return boost::json::serialize(boost::json::object{
        {"format", record_format}, {"change", to_json(written)}});
}

resource_store::applied_record resource_store::apply(log_offset offset,
                                                     const std::string& data)
{
    // 1. An offset is applied once: what came before is never seen again.
    if (offset < m_next)
    {
        return applied_record::behind;
    }
    m_next = offset.next();

    // 2. A record that cannot be read is skipped by every host alike.
    change proposed;
    try
    {
        const auto fields = parse_object(data);
        if (require_integer(fields, "format") != record_format)
        {
            throw json_error("unknown format");
        }
        const auto* body = find_object(fields, "change");
        if (body == nullptr)
        {
            throw json_error("no change");
        }
        proposed = change_from_json(*body);
    }
    catch (const std::exception&)
    {
        ++m_skipped;
        return applied_record::skipped;
    }

    // 3. A change id counts once; a doubled append is harmless.
    if (m_outcomes.contains(proposed.id))
    {
        return applied_record::repeated;
    }
    remember(proposed.id, settle(offset, proposed));
    return applied_record::settled;
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

} // namespace daleshelf
