/// @file
/// Random lives of one server, told in any order that sources may tell them in.

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

/// What stands in the list at one offset.
struct listed_record
{
    enum class kind
    {
        ready,
        draining,
        removed,
        foreign, ///< another writer's
    };

    kind what = kind::ready;
    std::int64_t born = 0;
    std::int64_t sequence = 0;

    [[nodiscard]] bool is_own() const
    {
        return what == kind::ready || what == kind::draining;
    }
};

const upstream_id the_server("a");

/// What a server writes over a few lives, and others between.
std::vector<listed_record> make_history()
{
    using kind = listed_record::kind;
    std::vector<listed_record> history;
    const auto lives = *rc::gen::inRange(1, 5);
    for (std::int64_t life = 1; life <= lives; ++life)
    {
        const auto born = life * 1000;
        const auto heartbeats = *rc::gen::inRange(1, 5);
        std::int64_t sequence = 0;
        for (int count = 0; count < heartbeats; ++count)
        {
            history.push_back({kind::ready, born, ++sequence});
            if (*rc::gen::inRange(0, 5) == 0)
            {
                history.push_back({kind::foreign, 0, 0});
                history.push_back({kind::ready, born, ++sequence});
            }
            if (*rc::gen::inRange(0, 6) == 0)
            {
                // Silent for a while: the entry lapses, and comes back.
                history.push_back({kind::removed, 0, 0});
                history.push_back({kind::ready, born, ++sequence});
            }
        }
        if (*rc::gen::inRange(0, 2) == 0)
        {
            history.push_back({kind::draining, born, ++sequence});
        }
        if (*rc::gen::inRange(0, 2) == 0)
        {
            history.push_back({kind::removed, 0, 0});
        }
    }
    return history;
}

void tell(server_directory& directory, const listed_record& record)
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
    entry.born = upstream_birth(record.born);
    entry.sequence = record.sequence;
    entry.is_draining = record.what == listed_record::kind::draining;
    directory.set(entry);
}

/// @return whether the newest life that `told` knows may get new work
bool may_be_used(const std::vector<listed_record>& told)
{
    std::int64_t newest = 0;
    for (const auto& record : told)
    {
        newest = std::max(newest, record.born);
    }
    std::optional<listed_record> last;
    bool has_drained = false;
    for (const auto& record : told)
    {
        if (record.is_own() && record.born != newest)
        {
            continue;
        }
        has_drained =
            has_drained || record.what == listed_record::kind::draining;
        last = record;
    }
    return last && last->is_own() && !has_drained;
}

/// @return own entries that were told before the newest one
std::vector<listed_record> earlier_entries(std::vector<listed_record> told)
{
    std::erase_if(told, [](const auto& record) { return !record.is_own(); });
    if (!told.empty())
    {
        told.pop_back();
    }
    return told;
}

// After each record, and whatever earlier entries come late from readers and
// peers: the server is used exactly if its newest life may be.
RC_GTEST_PROP(server_lives, only_the_newest_life_decides, ())
{
    server_directory directory;
    std::vector<listed_record> told;
    for (const auto& record : make_history())
    {
        tell(directory, record);
        told.push_back(record);
        RC_ASSERT(directory.is_usable(the_server) == may_be_used(told));
        const auto earlier = earlier_entries(told);
        const auto late = earlier.empty() ? 0 : *rc::gen::inRange(0, 3);
        for (int count = 0; count < late; ++count)
        {
            tell(directory,
                 earlier[*rc::gen::inRange<std::size_t>(0, earlier.size())]);
            RC_ASSERT(directory.is_usable(the_server) == may_be_used(told));
        }
    }
}

} // namespace
} // namespace daleshelf
