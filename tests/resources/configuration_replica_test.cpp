#include "sample_change.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <resources/configuration_replica.hpp>

namespace daleshelf
{
namespace
{

/// The log's two streams, with the faults that the brief lists.
struct fake_log
{
    std::vector<std::string> records;
    std::vector<std::string> snapshots;
    std::size_t first = 0;
    bool is_down = false;
    bool loses_answers = false;

    log_read_result read(log_offset from) const
    {
        log_read_result result;
        if (is_down)
        {
            return result;
        }
        result.first = log_offset(static_cast<std::int64_t>(first));
        result.next = log_offset(static_cast<std::int64_t>(records.size()));
        const auto start = static_cast<std::size_t>(from.value());
        result.state = start < first ? log_read_result::outcome::trimmed
                                     : log_read_result::outcome::records;
        for (auto i = start; i < records.size() && start >= first; ++i)
        {
            result.records.push_back(
                {log_offset(static_cast<std::int64_t>(i)), records[i]});
        }
        return result;
    }

    log_append_result append(const std::string& data)
    {
        log_append_result result;
        if (is_down)
        {
            return result; // unknown, and in truth not appended
        }
        records.push_back(data);
        if (!loses_answers)
        {
            result.state = log_append_result::outcome::appended;
        }
        return result;
    }
};

/// One replica and what became of the changes proposed at it.
class replica_host
{
public:
    replica_host(fake_log& log, std::uint64_t seed)
        : m_log(log), replica(options(), seed)
    {
    }

    static replica_options options()
    {
        replica_options made;
        made.records_per_snapshot = 8;
        made.kept_records = 4;
        return made;
    }

    void tick()
    {
        now += absl::Seconds(1);
        perform(replica.on_tick(now));
    }

    void perform(const replica_actions& actions)
    {
        for (const auto& action : actions)
        {
            std::visit([this](const auto& one) { on(one); }, action);
        }
        EXPECT_GE(replica.store().next(), highest) << "went back";
        highest = replica.store().next();
    }

    absl::Time now = absl::UnixEpoch();
    log_offset highest;
    std::map<std::string, change_outcome> settled;
    int resets = 0;
    std::vector<replica_warning::cause> warnings;
    bool wants_peer = false;

private:
    void on(const read_records& action)
    {
        perform(replica.on_records(m_log.read(action.from), now));
    }

    void on(const read_snapshot&)
    {
        const bool has_any = !m_log.is_down && !m_log.snapshots.empty();
        perform(replica.on_snapshot(has_any ? m_log.snapshots.back() : "",
                                    !m_log.is_down, now));
    }

    void on(const append_record& action)
    {
        replica.on_appended(m_log.append(action.data), now);
    }

    void on(const append_snapshot& action)
    {
        m_log.snapshots.push_back(action.data);
    }

    void on(const ask_peer&)
    {
        wants_peer = true;
    }

    void on(const state_changed& action)
    {
        resets += action.is_reset ? 1 : 0;
    }

    void on(const change_settled& action)
    {
        EXPECT_FALSE(settled.contains(action.id.value())) << "settled twice";
        settled[action.id.value()] = action.outcome;
    }

    void on(const replica_warning& action)
    {
        warnings.push_back(action.what);
    }

    fake_log& m_log;

public:
    configuration_replica replica;
};

using state = change_outcome::state;

TEST(configuration_replica, settles_a_change_whose_answer_was_lost_once)
{
    fake_log log;
    log.loses_answers = true;
    replica_host host(log, 1);
    EXPECT_FALSE(host.replica.propose(make_change("a", "m", 0)));
    for (int i = 0; i < 20; ++i)
    {
        host.tick();
    }
    EXPECT_EQ(state::accepted, host.settled.at("a").what);
    EXPECT_EQ(resource_version(1),
              host.replica.store().resources().begin()->second->version);
}

TEST(configuration_replica, keeps_a_change_pending_while_the_log_is_down)
{
    fake_log log;
    log.is_down = true;
    replica_host host(log, 1);
    (void)host.replica.propose(make_change("a", "m", 0));
    for (int i = 0; i < 20; ++i)
    {
        host.tick();
    }
    EXPECT_EQ(state::pending, host.replica.find_change(change_id("a"))->what);
    log.is_down = false;
    for (int i = 0; i < 20; ++i)
    {
        host.tick();
    }
    EXPECT_EQ(state::accepted, host.settled.at("a").what);
}

TEST(configuration_replica, starts_from_a_snapshot_when_records_were_trimmed)
{
    fake_log log;
    replica_host writer(log, 1);
    for (int i = 0; i < 30; ++i)
    {
        (void)writer.replica.propose(
            make_change("c" + std::to_string(i), "m", std::nullopt));
        writer.tick();
        writer.tick();
    }
    ASSERT_FALSE(log.snapshots.empty());
    const auto newest = boost::json::parse(log.snapshots.back());
    log.first = static_cast<std::size_t>(newest.at("next").as_int64());
    replica_host late(log, 2);
    for (int i = 0; i < 5; ++i)
    {
        late.tick();
    }
    EXPECT_EQ(writer.replica.store().next(), late.replica.store().next());
    EXPECT_EQ(resource_version(30),
              late.replica.store().resources().begin()->second->version);
    EXPECT_TRUE(late.replica.is_current());
    EXPECT_EQ(1, late.resets);
}

TEST(configuration_replica, is_not_current_before_anything_confirmed_it)
{
    fake_log log;
    log.is_down = true;
    replica_host host(log, 1);
    host.tick();
    EXPECT_FALSE(host.replica.is_current());
    host.perform(host.replica.on_peer_records("", {}, false, host.now));
    EXPECT_FALSE(host.replica.is_current()) << "the peer knew no more itself";
    host.perform(host.replica.on_peer_records("", {}, true, host.now));
    EXPECT_TRUE(host.replica.is_current());
}

TEST(configuration_replica, learns_from_a_peer_while_the_log_is_down)
{
    fake_log log;
    replica_host ahead(log, 1);
    for (int i = 0; i < 9; ++i)
    {
        (void)ahead.replica.propose(
            make_change("c" + std::to_string(i), "m", std::nullopt));
        ahead.tick();
        ahead.tick();
    }
    fake_log unreachable;
    unreachable.is_down = true;
    replica_host host(unreachable, 2);
    host.replica.set_peers_next(ahead.replica.store().next(), true);
    host.tick();
    host.tick();
    EXPECT_TRUE(host.wants_peer);
    std::vector<log_record> records;
    const auto snapshot =
        ahead.replica.records_for_peer(host.replica.store().next(), records);
    host.perform(
        host.replica.on_peer_records(snapshot, records, true, host.now));
    EXPECT_EQ(ahead.replica.store().next(), host.replica.store().next());
    EXPECT_TRUE(host.replica.is_current());
}

TEST(configuration_replica, keeps_what_it_has_when_the_log_goes_back)
{
    fake_log log;
    replica_host host(log, 1);
    for (int i = 0; i < 4; ++i)
    {
        (void)host.replica.propose(
            make_change("c" + std::to_string(i), "m", std::nullopt));
        host.tick();
        host.tick();
    }
    const auto before = host.replica.store().next();
    log.records.resize(1);
    host.tick();
    host.tick();
    EXPECT_EQ(before, host.replica.store().next());
    EXPECT_EQ(resource_version(4),
              host.replica.store().resources().begin()->second->version);
    EXPECT_NE(host.warnings.end(),
              std::find(host.warnings.begin(), host.warnings.end(),
                        replica_warning::cause::went_back));
}

/// Many writers with one fault or another: every host ends in one state, no
/// update is lost, no version is given twice, nothing stays pending.
RC_GTEST_PROP(configuration_replica, settles_races_alike_on_every_host, ())
{
    fake_log log;
    std::vector<std::unique_ptr<replica_host>> hosts;
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        hosts.push_back(std::make_unique<replica_host>(log, i));
    }
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
    int number = 0;
    std::map<std::string, std::size_t> proposed_at;
    for (const int step : steps)
    {
        log.loses_answers = step % 5 == 0;
        log.is_down = step % 7 == 0;
        const auto at = static_cast<std::size_t>(step) % hosts.size();
        auto& host = *hosts[at];
        const auto& resources = host.replica.store().resources();
        const resource_key key{resource_kind::model,
                               "m" + std::to_string(step % 2)};
        const auto seen = resources.find(key);
        const auto version =
            seen == resources.end() ? 0 : seen->second->version.value();
        const auto id = "c" + std::to_string(number++);
        (void)host.replica.propose(make_change(id, key.name, version));
        proposed_at[id] = at;
        hosts[static_cast<std::size_t>(step / 7) % hosts.size()]->tick();
    }
    log.is_down = false;
    log.loses_answers = false;
    for (int i = 0; i < 40; ++i)
    {
        for (auto& host : hosts)
        {
            host->tick();
        }
    }
    std::map<std::string, std::int64_t> accepted;
    for (const auto& [id, at] : proposed_at)
    {
        const auto outcome = hosts[at]->replica.find_change(change_id(id));
        RC_ASSERT(outcome.has_value());
        RC_ASSERT(outcome->what != state::pending);
        for (const auto& host : hosts)
        {
            RC_ASSERT(host->replica.find_change(change_id(id))->what ==
                      outcome->what);
        }
        if (outcome->what == state::accepted)
        {
            ++accepted[id];
        }
    }
    std::int64_t versions = 0;
    for (const auto& [key, item] : hosts[0]->replica.store().resources())
    {
        versions += item->version.value();
    }
    RC_ASSERT(versions == static_cast<std::int64_t>(accepted.size()));
}

} // namespace
} // namespace daleshelf
