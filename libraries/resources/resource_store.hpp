/// @file
/// The declared resources, settled by replay of the log.
#pragma once

#include "change.hpp"
#include "resource.hpp"

#include <absl/container/flat_hash_map.h>

#include <base/identifiers.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daleshelf
{

/// A change of one resource, as a watch shows it.
struct resource_event
{
    log_offset offset;
    resource_key key;
    std::shared_ptr<const resource> now; ///< null: it was deleted
};

/// Applies records in offset order. Equal records give equal states on every
/// host; nothing here depends on time or place.
class resource_store
{
public:
    using table = std::map<resource_key, std::shared_ptr<const resource>>;

    /// Result of applying one record.
    enum class applied_record
    {
        settled,  ///< the record's change has an outcome now
        repeated, ///< the change had been settled by an earlier record
        skipped,  ///< the record cannot be read
        behind,   ///< the offset had been applied already
    };

    /// @param fields what `to_snapshot` gave
    /// @return the store as it was then, without its events
    /// @throws json_error if the fields are malformed
    [[nodiscard]] static resource_store
    from_snapshot(const boost::json::object& fields);

    /// @return everything but the events
    [[nodiscard]] boost::json::object to_snapshot() const;

    /// Applies the record at `offset`.
    /// @param offset its place; records before it that were never given are
    ///               taken as absent
    /// @param data the record
    applied_record apply(log_offset offset, const std::string& data);

    /// @return the first offset that has not been applied
    [[nodiscard]] log_offset next() const
    {
        return m_next;
    }

    [[nodiscard]] const table& resources() const
    {
        return m_resources;
    }

    /// @return what became of a change; nothing if it is not known
    [[nodiscard]] std::optional<change_outcome>
    find_change(const change_id& id) const;

    /// @return the events kept, in order of offset
    [[nodiscard]] const std::deque<resource_event>& events() const
    {
        return m_events;
    }

    /// @return the lowest offset whose events are all kept
    [[nodiscard]] log_offset events_from() const
    {
        return m_events_from;
    }

    /// @return records that could not be read
    [[nodiscard]] std::int64_t skipped() const
    {
        return m_skipped;
    }

private:
    change_outcome settle(log_offset offset, const change& proposed);
    void put(log_offset offset, const change_operation& operation);
    void remember(const change_id& id, change_outcome outcome);
    void publish(resource_event event);

    table m_resources;
    /// Versions of deleted resources go on, so that none comes twice.
    std::map<resource_key, resource_version> m_last_versions;
    absl::flat_hash_map<change_id, change_outcome> m_outcomes;
    std::deque<change_id> m_outcome_order;
    std::deque<resource_event> m_events;
    log_offset m_events_from;
    log_offset m_next;
    std::int64_t m_skipped = 0;
};

/// @param written changes
/// @return the record that carries them in the log, in this order
[[nodiscard]] std::string to_record(const std::vector<change>& written);

} // namespace daleshelf
