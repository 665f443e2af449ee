#include "sample_change.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <resources/resource_store.hpp>

namespace daleshelf
{
namespace
{

std::string record(const std::string& id, const std::string& name,
                   std::optional<std::int64_t> expected_version)
{
    return to_record({make_change(id, name, expected_version)});
}

change_outcome::state state_of(const resource_store& store,
                               const std::string& id)
{
    return store.find_change(change_id(id))->what;
}

using state = change_outcome::state;

TEST(resource_store, lets_the_first_of_two_writers_with_one_version_win)
{
    resource_store store;
    store.apply(log_offset(0), record("a", "m", 0));
    store.apply(log_offset(1), record("b", "m", 0));
    EXPECT_EQ(state::accepted, state_of(store, "a"));
    EXPECT_EQ(state::conflict, state_of(store, "b"));
    const auto outcome = *store.find_change(change_id("b"));
    ASSERT_EQ(1U, outcome.present.size());
    EXPECT_EQ(resource_version(1), outcome.present[0].version);
}

TEST(resource_store, counts_a_change_id_once)
{
    resource_store store;
    store.apply(log_offset(0), record("a", "m", std::nullopt));
    store.apply(log_offset(1), record("b", "m", std::nullopt));
    const auto applied =
        store.apply(log_offset(2), record("a", "m", std::nullopt));
    EXPECT_EQ(resource_store::applied_record::repeated, applied);
    const auto& item = *store.resources().begin()->second;
    EXPECT_EQ(resource_version(2), item.version);
    EXPECT_EQ("w-b", item.body.at("weights").as_string());
}

TEST(resource_store, takes_all_operations_of_a_change_or_none)
{
    resource_store store;
    store.apply(log_offset(0), record("a", "m", 0));
    auto both = make_change("b", "n", 0);
    both.operations.push_back(make_change("b", "m", 0).operations[0]);
    store.apply(log_offset(1), to_record({both}));
    EXPECT_EQ(state::conflict, state_of(store, "b"));
    EXPECT_EQ(1U, store.resources().size());
}

TEST(resource_store, skips_what_it_cannot_read_and_goes_on)
{
    resource_store store;
    EXPECT_EQ(resource_store::applied_record::skipped,
              store.apply(log_offset(0), "{\"format\":99}"));
    EXPECT_EQ(resource_store::applied_record::skipped,
              store.apply(log_offset(1), "no JSON"));
    store.apply(log_offset(2), record("a", "m", 0));
    EXPECT_EQ(state::accepted, state_of(store, "a"));
    EXPECT_EQ(2, store.skipped());
}

TEST(resource_store, does_not_give_a_version_twice_after_a_delete)
{
    resource_store store;
    store.apply(log_offset(0), record("a", "m", 0));
    change removal;
    removal.id = change_id("b");
    removal.operations = {{change_operation::action::remove,
                           {resource_kind::model, "m"},
                           {},
                           {}}};
    store.apply(log_offset(1), to_record({removal}));
    EXPECT_TRUE(store.resources().empty());
    store.apply(log_offset(2), record("c", "m", 0));
    EXPECT_EQ(resource_version(2), store.resources().begin()->second->version);
}

/// Any replay of the same records gives the same state, whatever was read
/// twice on the way.
RC_GTEST_PROP(resource_store, settles_alike_when_records_are_read_again, ())
{
    const auto writers =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    std::vector<std::string> records;
    for (const int writer : writers)
    {
        const auto name = "m" + std::to_string(writer % 3);
        records.push_back(
            record("c" + std::to_string(writer), name, writer % 4));
    }
    resource_store once;
    resource_store again;
    for (std::size_t i = 0; i < records.size(); ++i)
    {
        const log_offset offset(static_cast<std::int64_t>(i));
        once.apply(offset, records[i]);
        again.apply(offset, records[i]);
        const auto back = *rc::gen::inRange<std::size_t>(0, i + 1);
        again.apply(log_offset(static_cast<std::int64_t>(back)), records[back]);
    }
    RC_ASSERT(once.next() == again.next());
    RC_ASSERT(once.resources().size() == again.resources().size());
    for (const auto& [key, item] : once.resources())
    {
        const auto& other = *again.resources().at(key);
        RC_ASSERT(item->version == other.version);
        RC_ASSERT(item->body == other.body);
    }
}

} // namespace
} // namespace daleshelf
