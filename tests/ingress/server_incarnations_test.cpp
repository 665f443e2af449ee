/// @file
/// Random incarnations of one upstream, with records that arrive late or more
/// than once. Guards against a late record that makes an upstream usable after
/// it drained, or that hides its newest incarnation.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <ingress/server_directory.hpp>
#include <optional>
#include <vector>

namespace daleshelf
{
namespace
{

/// The record of the list at one offset.
struct listed_record
{
    enum class kind
    {
        ready,
        draining,
        removed,
        foreign, ///< written by another writer
    };

    kind what = kind::ready;
    std::int64_t started_ms = 0;
    std::int64_t sequence = 0;

    [[nodiscard]] bool is_own() const
    {
        return what == kind::ready || what == kind::draining;
    }
};

const upstream_id the_server("a");

/// Records of an upstream over a few incarnations, mixed with removals and
/// records of other writers.
std::vector<listed_record> make_history()
{
    using kind = listed_record::kind;
    std::vector<listed_record> history;
    const auto incarnations = *rc::gen::inRange(1, 5);
    for (std::int64_t number = 1; number <= incarnations; ++number)
    {
        const auto started_ms = number * 1000;
        const auto heartbeats = *rc::gen::inRange(1, 5);
        std::int64_t sequence = 0;
        for (int count = 0; count < heartbeats; ++count)
        {
            history.push_back({kind::ready, started_ms, ++sequence});
            if (*rc::gen::inRange(0, 5) == 0)
            {
                history.push_back({kind::foreign, 0, 0});
                history.push_back({kind::ready, started_ms, ++sequence});
            }
            if (*rc::gen::inRange(0, 6) == 0)
            {
                // The upstream is cut off for a while: its entry expires, and
                // returns with its next record.
                history.push_back({kind::removed, 0, 0});
                history.push_back({kind::ready, started_ms, ++sequence});
            }
        }
        if (*rc::gen::inRange(0, 2) == 0)
        {
            history.push_back({kind::draining, started_ms, ++sequence});
        }
        if (*rc::gen::inRange(0, 2) == 0)
        {
            history.push_back({kind::removed, 0, 0});
        }
    }
    return history;
}

void apply(server_directory& directory, const listed_record& record)
{
    if (record.what == listed_record::kind::removed)
    {
        directory.remove(the_server);
        return;
    }
    if (record.what == listed_record::kind::foreign)
    {
        directory.withhold(the_server);
        return;
    }
    server_entry entry;
    entry.id = the_server;
    entry.started_at = upstream_birth(record.started_ms);
    entry.sequence = record.sequence;
    entry.is_draining = record.what == listed_record::kind::draining;
    directory.set(entry);
}

/// @return whether the newest incarnation in `applied` may get new requests
bool is_expected_usable(const std::vector<listed_record>& applied)
{
    std::int64_t newest = 0;
    for (const auto& record : applied)
    {
        newest = std::max(newest, record.started_ms);
    }
    std::optional<listed_record> last;
    bool has_drained = false;
    for (const auto& record : applied)
    {
        if (record.is_own() && record.started_ms != newest)
        {
            continue;
        }
        has_drained =
            has_drained || record.what == listed_record::kind::draining;
        last = record;
    }
    return last && last->is_own() && !has_drained;
}

/// @return the upstream's own records in `applied` without the newest one
std::vector<listed_record> earlier_records(std::vector<listed_record> applied)
{
    std::erase_if(applied, [](const auto& record) { return !record.is_own(); });
    if (!applied.empty())
    {
        applied.pop_back();
    }
    return applied;
}

// After each record, and after earlier records that arrive late from readers
// and peers, the upstream is usable exactly if its newest incarnation may be
// used.
RC_GTEST_PROP(server_incarnations, only_the_newest_incarnation_decides, ())
{
    server_directory directory;
    std::vector<listed_record> applied;
    for (const auto& record : make_history())
    {
        apply(directory, record);
        applied.push_back(record);
        RC_ASSERT(directory.is_usable(the_server) ==
                  is_expected_usable(applied));
        const auto earlier = earlier_records(applied);
        const auto late = earlier.empty() ? 0 : *rc::gen::inRange(0, 3);
        for (int count = 0; count < late; ++count)
        {
            apply(directory,
                  earlier[*rc::gen::inRange<std::size_t>(0, earlier.size())]);
            RC_ASSERT(directory.is_usable(the_server) ==
                      is_expected_usable(applied));
        }
    }
}

} // namespace
} // namespace daleshelf
