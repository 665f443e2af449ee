#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <peers/datagram_format.hpp>
#include <peers/peer_table.hpp>
#include <peers/time_estimate.hpp>
#include <peers/topic_records.hpp>
#include <set>

namespace daleshelf
{
namespace
{

const workspace_id studio("studio");

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

host_state make_state(const std::string& name, std::int64_t started,
                      std::int64_t sequence)
{
    host_state state;
    state.self = {host_id(name), "10.0.0." + name + ":7"};
    state.started = incarnation(started);
    state.sequence = sequence;
    return state;
}

peer_table make_table()
{
    return peer_table({host_id("1"), "10.0.0.1:7"}, incarnation(100000),
                      peer_options());
}

TEST(host_state, survives_its_encoding)
{
    auto state = make_state("2", 5, 6);
    state.wall_time_ms = 123456;
    state.configuration_version = 9;
    state.servers_offset = log_offset(44);
    state.is_stopping = true;
    state.is_partitioned = true;
    service_report sent;
    sent.service = service_name("engines");
    sent.work = {7, 1.5, 2.5, 70};
    sent.learned.read_ms_per_token = 0.25;
    sent.learned.generations = 12;
    state.services.push_back(sent);
    state.fleet_size = 77;
    state.loads = {{upstream_id("s"), 2, 300}};
    state.counts = {{7, {{studio, 4}}}};
    state.relayed_counts = {
        {{host_id("3"), incarnation(1)}, {{6, {{studio, 8}}}}}};
    state.known_hosts = {{host_id("3"), "10.0.0.3:7", hall_id("north")}};
    state.duty_holder = host_id("2");
    state.duty_token = 17;
    state.released_token = 11;
    state.store_answer_age_ms = 250;
    const auto read = decode_host_state(encode(state));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->self.address, state.self.address);
    EXPECT_EQ(read->servers_offset, state.servers_offset);
    ASSERT_EQ(read->known_hosts.size(), 1U);
    EXPECT_EQ(read->known_hosts.front().hall, hall_id("north"));
    EXPECT_EQ(read->counts, state.counts);
    EXPECT_EQ(read->relayed_counts, state.relayed_counts);
    EXPECT_EQ(read->loads.front().unread_tokens, 300);
    EXPECT_EQ(read->duty_token, 17);
    EXPECT_EQ(read->released_token, 11);
    EXPECT_EQ(read->store_answer_age_ms, 250);
    ASSERT_EQ(read->services.size(), 1);
    const auto& decoded = read->services.front();
    EXPECT_EQ(decoded.service, service_name("engines"));
    EXPECT_EQ(decoded.work.read_tokens, 1.5);
    EXPECT_EQ(decoded.work.allowed_tokens, 70);
    EXPECT_EQ(decoded.learned.read_ms_per_token, 0.25);
    EXPECT_EQ(decoded.learned.generations, 12);
    EXPECT_EQ(read->fleet_size, 77);
    EXPECT_TRUE(read->is_partitioned);
}

// A table with `count` peers in one hall, all of which reach the store.
peer_table make_large_table(int count)
{
    auto table = make_table();
    for (int index = 0; index < count; ++index)
    {
        auto state = make_state(std::to_string(index + 2), 5, 1);
        state.hall = hall_id("h");
        state.reaches_store = true;
        (void)table.receive(state, at(0));
    }
    return table;
}

bool reads(const peer_table& table, const std::string& name)
{
    const auto readers = table.readers_of(hall_id("h"), true, {}, at(0.1));
    return std::find(readers.begin(), readers.end(), host_id(name)) !=
           readers.end();
}

TEST(peer_table, two_machines_of_a_hall_read_for_the_others)
{
    const auto table = make_large_table(20);
    const auto readers = table.readers_of(hall_id("h"), true, {}, at(0.1));
    EXPECT_EQ(readers.size(), 2U);
    EXPECT_TRUE(table.readers_of(hall_id("other"), false, {}, at(0.1)).empty());
}

TEST(peer_table, a_machine_that_does_not_reach_the_store_does_not_read)
{
    auto table = make_large_table(20);
    for (int index = 0; index < 20; ++index)
    {
        const auto name = std::to_string(index + 2);
        if (!reads(table, name))
        {
            continue;
        }
        auto state = make_state(name, 5, 2);
        state.hall = hall_id("h");
        (void)table.receive(state, at(0.05));
        EXPECT_FALSE(reads(table, name));
        EXPECT_EQ(table.readers_of(hall_id("h"), true, {}, at(0.1)).size(), 2U);
    }
}

TEST(peer_table, a_silent_machine_does_not_read)
{
    const auto table = make_large_table(20);
    EXPECT_EQ(table.readers_of(hall_id("h"), true, {}, at(60)),
              std::vector<host_id>{host_id("1")});
}

TEST(host_state, other_bytes_are_no_state)
{
    EXPECT_FALSE(decode_host_state("not a state"));
    EXPECT_FALSE(decode_host_state(""));
}

TEST(peer_table, an_older_datagram_changes_nothing)
{
    auto table = make_table();
    EXPECT_TRUE(table.receive(make_state("2", 5, 6), at(1)).is_newer);
    EXPECT_FALSE(table.receive(make_state("2", 5, 5), at(2)).is_newer);
    EXPECT_FALSE(table.receive(make_state("2", 4, 9), at(2)).is_newer);
    EXPECT_TRUE(table.receive(make_state("2", 6, 1), at(2)).is_newer);
}

TEST(peer_table, reaches_those_it_has_heard_lately)
{
    auto table = make_table();
    (void)table.receive(make_state("2", 5, 1), at(1));
    table.add_address({host_id("3"), "10.0.0.3:7"}, at(1));
    EXPECT_EQ(table.size(), 3);
    EXPECT_EQ(table.reachable_count(at(2)), 2);
    EXPECT_EQ(table.reachable_count(at(9)), 1);
    EXPECT_EQ(table.evict_silent(at(17)).size(), 2);
    EXPECT_EQ(table.size(), 1);
}

TEST(peer_table, a_seed_is_replaced_by_the_machine_that_is_there)
{
    auto table = make_table();
    table.add_address({host_id("10.0.0.2:7"), "10.0.0.2:7"}, at(0));
    EXPECT_EQ(table.size(), 2);
    (void)table.receive(make_state("2", 5, 1), at(1));
    EXPECT_EQ(table.size(), 2);
    EXPECT_EQ(table.reachable_count(at(1)), 2);
}

TEST(peer_table, keeps_the_counts_of_a_start_that_has_ended)
{
    auto table = make_table();
    auto state = make_state("2", 5, 1);
    state.counts = {{7, {{studio, 4}}}};
    (void)table.receive(state, at(1));
    auto restarted = make_state("2", 6, 1);
    restarted.counts = {{7, {{studio, 2}}}};
    (void)table.receive(restarted, at(2));
    EXPECT_EQ(table.counts_of(7).at(studio), 6);
    const auto relayed = table.relayed_counts(incarnation(100000));
    ASSERT_EQ(relayed.size(), 1);
    EXPECT_EQ(relayed.begin()->first.started, incarnation(5));
    table.evict_silent(at(60));
    EXPECT_EQ(table.counts_of(7).at(studio), 6);
}

// Guards against datagrams that exceed the size limit: with many hosts, one
// that relayed all incarnations was never sent.
TEST(peer_table, tells_a_bounded_number_of_ended_starts_and_all_in_turn)
{
    auto table = make_table();
    auto state = make_state("2", 5, 1);
    constexpr int incarnations = 100;
    for (int index = 0; index < incarnations; ++index)
    {
        state.relayed_counts[{host_id("old"), incarnation(index)}] = {
            {7, {{studio, 1}}}};
    }
    (void)table.receive(state, at(1));
    std::set<host_incarnation> seen;
    for (int round = 0; round < incarnations; ++round)
    {
        const auto subset = table.relayed_counts(incarnation(100000));
        EXPECT_LE(subset.size(), 8);
        for (const auto& [origin, counts] : subset)
        {
            seen.insert(origin);
        }
    }
    EXPECT_EQ(seen.size(), incarnations);
}

TEST(peer_table, a_machine_out_of_reach_tells_its_counts_by_itself)
{
    auto table = make_table();
    auto state = make_state("2", 5, 1);
    state.counts = {{7, {{studio, 4}}}};
    (void)table.receive(state, at(1));
    EXPECT_TRUE(table.relayed_counts(incarnation(100000)).empty());
}

TEST(peer_table, the_pause_grows_with_the_number_of_peers)
{
    auto table = make_table();
    EXPECT_EQ(table.send_interval(), absl::Milliseconds(250));
    for (int index = 2; index <= 81; ++index)
    {
        const auto name = std::to_string(index);
        table.add_address({host_id(name), "10.0.1." + name + ":7"}, at(0));
    }
    EXPECT_EQ(table.send_interval(), absl::Seconds(2.5));
}

RC_GTEST_PROP(count_table, merging_in_any_order_and_twice_is_the_same, ())
{
    struct report
    {
        host_incarnation origin;
        counts_by_window counts;
    };
    const auto size = *rc::gen::inRange(1, 12);
    std::vector<report> reports;
    reports.reserve(static_cast<std::size_t>(size));
    for (int index = 0; index < size; ++index)
    {
        reports.push_back({{host_id(std::to_string(*rc::gen::inRange(0, 3))),
                            incarnation(*rc::gen::inRange(0, 2))},
                           {{*rc::gen::inRange(0, 3),
                             {{studio, *rc::gen::inRange(0, 50)}}}}});
    }
    count_table forward;
    for (const auto& item : reports)
    {
        forward.merge(item.origin, item.counts);
    }
    std::reverse(reports.begin(), reports.end());
    count_table backward;
    for (const auto& item : reports)
    {
        backward.merge(item.origin, item.counts);
        backward.merge(item.origin, item.counts);
    }
    RC_ASSERT(forward.entries() == backward.entries());
}

TEST(time_estimate, one_clock_that_steps_changes_nothing)
{
    time_estimate clock;
    clock.update(host_id("1"), at(1000), at(10));
    clock.update(host_id("2"), at(1000.02), at(10));
    clock.update(host_id("3"), at(999.99), at(10));
    EXPECT_EQ(clock.at(at(11)), at(1001));
    clock.update(host_id("1"), at(1004), at(12));
    EXPECT_EQ(clock.at(at(12)), at(1002.02));
}

// Hosts that start together have read the same list, so they must choose the
// same readers before they have received any state from one another.
TEST(peer_table, hosts_that_start_together_name_the_same_readers)
{
    std::vector<host_address> listed;
    listed.reserve(60);
    for (int number = 1; number <= 60; ++number)
    {
        const auto name = std::to_string(number);
        listed.push_back(
            {host_id(name), "10.0.0." + name + ":7", hall_id("h")});
    }
    std::set<std::vector<host_id>> chosen;
    for (const auto& self : listed)
    {
        peer_table table(self, incarnation(1), peer_options());
        for (const auto& host : listed)
        {
            table.add_address(host, at(0));
        }
        auto readers = table.readers_of(hall_id("h"), true, {}, at(0.2));
        std::sort(readers.begin(), readers.end());
        chosen.insert(readers);
    }
    EXPECT_EQ(chosen.size(), 1U);
    EXPECT_EQ(chosen.begin()->size(), 2U);
}

TEST(peer_table, a_listed_machine_that_is_never_heard_does_not_read_for_long)
{
    auto table = make_table();
    table.add_address({host_id("2"), "10.0.0.2:7", hall_id("h")}, at(0));
    EXPECT_EQ(table.readers_of(hall_id("h"), false, {}, at(0.1)).size(), 1U);
    EXPECT_TRUE(table.readers_of(hall_id("h"), false, {}, at(1)).empty());
}

TEST(datagram_format, distinguishes_the_formats_on_one_socket)
{
    EXPECT_EQ(format_of(encode(make_state("2", 5, 6))), datagram_format::state);
    shared_records records;
    records.topic = "servers";
    EXPECT_EQ(format_of(encode(records)), datagram_format::records);
    EXPECT_EQ(format_of(""), datagram_format::none);
    EXPECT_EQ(format_of("\x08\x09"), datagram_format::origins);
    EXPECT_EQ(format_of("\x08\x0a"), datagram_format::loads);
    EXPECT_EQ(format_of("\x08\x0b"), datagram_format::slots);
    EXPECT_EQ(format_of("\x08\x0c"), datagram_format::none);
}

// With 580 hosts, the states of a peer are 18 s apart, and one can be lost.
TEST(peer_table, forgets_nobody_between_two_states_of_a_large_fleet)
{
    auto table = make_table();
    constexpr int hosts = 580;
    for (int number = 2; number <= hosts; ++number)
    {
        (void)table.receive(make_state(std::to_string(number), 5, 6), at(1));
    }
    const auto round = absl::ToDoubleSeconds(table.send_interval());
    EXPECT_TRUE(table.evict_silent(at(1 + 2 * round)).empty());
    EXPECT_EQ(table.evict_silent(at(1 + 4 * round)).size(), hosts - 1U);
}

// Guards against hosts that all start their rounds at the same name. The holder
// of the duty lease then received nine seconds of work of 295 hosts within one
// tick, took it for the work of one second, and ordered the maximum number of
// upstreams.
TEST(peer_table, no_machine_of_a_fleet_hears_all_others_at_once)
{
    constexpr int hosts = 100;
    std::vector<host_address> fleet;
    fleet.reserve(hosts);
    for (int number = 0; number < hosts; ++number)
    {
        const auto name = std::to_string(100 + number);
        fleet.push_back({host_id(name), name, hall_id("h")});
    }
    std::vector<peer_table> tables;
    tables.reserve(hosts);
    for (const auto& self : fleet)
    {
        tables.emplace_back(self, incarnation(1), peer_options());
    }
    // All hosts first know the same three, then the whole fleet.
    const auto add_hosts = [&](std::size_t known)
    {
        for (auto& table : tables)
        {
            for (std::size_t other = 0; other < known; ++other)
            {
                table.add_address(fleet[other], at(0));
            }
        }
    };
    add_hosts(3);
    for (int tick = 0; tick < 7; ++tick)
    {
        for (auto& table : tables)
        {
            (void)table.next_targets();
        }
    }
    add_hosts(fleet.size());
    std::map<std::string, int> total_received;
    for (int tick = 0; tick < 25; ++tick)
    {
        std::map<std::string, int> received;
        for (auto& table : tables)
        {
            for (const auto& address : table.next_targets())
            {
                ++received[address];
                ++total_received[address];
            }
        }
        for (const auto& [address, times] : received)
        {
            EXPECT_LE(times, 9) << address;
        }
    }
    // 25 ticks are two rounds: each host was a target of every other at least
    // twice.
    ASSERT_EQ(total_received.size(), static_cast<std::size_t>(hosts));
    for (const auto& [address, times] : total_received)
    {
        EXPECT_GE(times, 2 * (hosts - 1));
    }
}

// The holder of the duty lease requests the counts of each host, which responds
// with its own and some of those of incarnations that no longer report.
TEST(peer_table, tells_the_counts_of_a_window_that_it_is_asked_for)
{
    auto table = make_table();
    table.merge_own_counts({{6, {{studio, 1}}}, {7, {{studio, 2}}}},
                           incarnation(100000));
    auto crashed = make_state("3", 5, 6);
    crashed.counts = {{7, {{studio, 4}}}};
    (void)table.receive(crashed, at(1));
    EXPECT_EQ(table.reported_counts(7).size(), 1U)
        << "a known host reports its own counts";
    (void)table.evict_silent(at(100));
    const std::map<host_incarnation, tenant_counts> expected{
        {{host_id("1"), incarnation(100000)}, {{studio, 2}}},
        {{host_id("3"), incarnation(5)}, {{studio, 4}}}};
    EXPECT_EQ(table.reported_counts(7), expected);

    auto requester = peer_table({host_id("4"), "10.0.0.4:7"}, incarnation(1),
                                peer_options());
    window_counts message;
    message.window = 7;
    message.counts = expected;
    requester.merge_reported_counts(message);
    requester.merge_reported_counts(message);
    EXPECT_EQ(requester.counts_of(7).at(studio), 6);
}

TEST(peer_table, names_two_readers_of_each_hall)
{
    auto table = make_table();
    int number = 10;
    for (const auto* hall : {"north", "north", "north", "south"})
    {
        auto state = make_state(std::to_string(++number), 5, 6);
        state.hall = hall_id(hall);
        state.reaches_store = true;
        (void)table.receive(state, at(1));
    }
    auto cut_off = make_state("9", 5, 6);
    cut_off.hall = hall_id("south");
    (void)table.receive(cut_off, at(1));
    EXPECT_EQ(table.other_readers(at(1)).size(), 3U);
    EXPECT_TRUE(table.other_readers(at(100)).empty());
}

TEST(peer_table, knows_when_the_store_last_answered_a_peer)
{
    auto table = make_table();
    EXPECT_EQ(table.store_answered_at(), absl::InfinitePast());
    auto state = make_state("2", 5, 6);
    state.store_answer_age_ms = 400;
    (void)table.receive(state, at(10));
    auto silent = make_state("3", 5, 6);
    silent.store_answer_age_ms = -1;
    (void)table.receive(silent, at(11));
    EXPECT_EQ(table.store_answered_at(), at(9.6));
}

} // namespace
} // namespace daleshelf
