#include <gtest/gtest.h>

#include <base/text.hpp>
#include <gateway/origin_service.hpp>

namespace daleshelf
{
namespace
{

const service_name engines("engines");
const version_name first("v1");
const version_name second("v2");
constexpr absl::Duration keep_time = absl::Seconds(15);

/// Hosts in two halls that deliver each other's datagrams at once.
class origin_service_test : public testing::Test
{
protected:
    static constexpr int host_count = 8;
    static constexpr log_offset first_offset{5};

    origin_service_test()
    {
        for (int number = 0; number < host_count; ++number)
        {
            m_candidates.push_back(
                {name_of_host(number), hall_of(number), keep_time});
        }
        for (int number = 0; number < host_count; ++number)
        {
            start(number, false);
        }
    }

    static host_id name_of_host(int number)
    {
        return host_id(concat("host-", number));
    }

    static hall_id hall_of(int number)
    {
        return hall_id(number % 2 == 0 ? "even" : "odd");
    }

    /// Starts a host without any knowledge.
    void start(int number, bool is_first_start)
    {
        const auto host = name_of_host(number);
        auto& service = m_services[host];
        service = std::make_unique<origin_service>(
            m_context, host, hall_of(number), m_servers, is_first_start);
        origin_peers peers;
        peers.candidates = [this] { return m_candidates; };
        peers.send = [this, host](const host_id& to, const std::string& bytes)
        { deliver(host, to, bytes); };
        peers.confirm_server_list = [this]() -> awaitable<bool>
        {
            if (m_on_confirmation)
            {
                m_on_confirmation();
            }
            co_return m_is_list_current;
        };
        peers.server_list = [this, number]
        {
            const auto next = m_list_offsets.find(number);
            return known_server_list{
                next == m_list_offsets.end() ? first_offset : next->second};
        };
        service->set_peers(std::move(peers));
        service->record_list(first_offset);
        service->record_discovery(false);
    }

    void kill(int number)
    {
        m_services.erase(name_of_host(number));
    }

    origin_service& service(int number)
    {
        return *m_services.at(name_of_host(number));
    }

    void deliver(const host_id& from, const host_id& to,
                 const std::string& bytes)
    {
        if (!m_services.contains(to) ||
            m_cut.contains(from) != m_cut.contains(to))
        {
            return;
        }
        asio::post(m_context,
                   [this, from, to, bytes]
                   {
                       const auto reply = m_services.at(to)->receive(bytes);
                       if (!reply.empty())
                       {
                           deliver(to, from, reply);
                       }
                   });
    }

    void list(const std::string& id, const version_name& version)
    {
        server_entry entry;
        entry.id = upstream_id(id);
        entry.service = engines;
        entry.version = version;
        m_servers.set(entry);
    }

    void run()
    {
        m_context.restart();
        m_context.run();
    }

    void begin_stream(int number)
    {
        service(number).record({request_id("first"), engines, first},
                               keep_time);
        run();
    }

    found_origin find(int number, const std::string& begun_by,
                      absl::Duration span = absl::Seconds(20))
    {
        origin_query query;
        query.begun_by = request_id(begun_by);
        query.resumed_by = request_id("second");
        query.service = engines;
        query.span = span;
        found_origin found;
        asio::co_spawn(
            m_context, [&] { return service(number).find(query); },
            [&](const std::exception_ptr&, const found_origin& result)
            { found = result; });
        run();
        return found;
    }

    asio::io_context m_context;
    server_directory m_servers;
    std::vector<keeper_candidate> m_candidates;
    std::map<host_id, std::unique_ptr<origin_service>> m_services;
    std::set<host_id> m_cut;
    bool m_is_list_current = true;
    std::function<void()> m_on_confirmation;
    std::map<int, log_offset> m_list_offsets; ///< that differ from the first
};

TEST_F(origin_service_test, every_host_finds_a_stream_after_its_host_was_killed)
{
    begin_stream(0);
    EXPECT_EQ(find(0, "first").source, origin_source::own);
    kill(0);
    for (int number = 1; number < host_count; ++number)
    {
        const auto found = find(number, "first");
        EXPECT_NE(found.source, origin_source::unknown) << number;
        EXPECT_EQ(found.origin.version, first);
    }
}

TEST_F(origin_service_test, a_hall_that_is_cut_off_finds_its_own_streams)
{
    for (int number = 0; number < host_count; number += 2)
    {
        m_cut.insert(name_of_host(number));
    }
    begin_stream(0);
    kill(0);
    EXPECT_EQ(find(2, "first").origin.version, first);
    EXPECT_EQ(find(1, "first").source, origin_source::unknown)
        << "a stream of the other side is not guessed";
}

TEST_F(origin_service_test, a_stream_that_nobody_knows_is_unknown)
{
    list("a", first);
    EXPECT_EQ(find(3, "unseen").source, origin_source::unknown);
    EXPECT_EQ(find(3, "").source, origin_source::unknown);
}

TEST_F(origin_service_test, restarts_in_turn_lose_no_origin)
{
    begin_stream(0);
    for (int number = 0; number < host_count; ++number)
    {
        kill(number);
        start(number, false);
        for (const auto& [name, other] : m_services)
        {
            other->send_kept(
                {name_of_host(number), hall_of(number), keep_time});
        }
        run();
    }
    EXPECT_EQ(find(5, "first").origin.version, first);
}

TEST_F(origin_service_test, the_only_version_since_the_first_start_is_derived)
{
    list("a", first);
    start(1, true);
    service(1).observe_versions();
    for (const auto* begun_by : {"unseen", ""})
    {
        const auto found = find(1, begun_by);
        EXPECT_EQ(found.source, origin_source::sole);
        EXPECT_EQ(found.origin.version, first);
    }
    m_is_list_current = false;
    EXPECT_EQ(find(1, "").source, origin_source::unknown);
}

// A host that has just started cannot know which versions there were.
TEST_F(origin_service_test, a_new_host_takes_the_word_of_an_older_one)
{
    list("a", first);
    for (int number = 1; number < host_count; ++number)
    {
        start(number, true);
        service(number).observe_versions();
        m_candidates[number].uptime = absl::Minutes(1);
    }
    service(0).observe_versions();
    const auto found = find(0, "");
    EXPECT_EQ(found.source, origin_source::sole);
    EXPECT_EQ(found.origin.version, first);
    list("b", second);
    service(0).observe_versions();
    EXPECT_EQ(find(0, "").source, origin_source::unknown)
        << "this host has seen another version";
}

// Guards against streams that went on at another version: servers of a new one
// had been listed, and this host's list was behind.
TEST_F(origin_service_test, a_version_listed_before_the_resumption_is_noticed)
{
    list("a", first);
    start(1, true);
    service(1).observe_versions();
    m_on_confirmation = [this]
    {
        list("b", second);
        service(1).observe_versions();
    };
    EXPECT_EQ(find(1, "").source, origin_source::unknown);
}

// Keepers that are cut off do not reply; meanwhile a version may be listed.
TEST_F(origin_service_test, a_version_listed_while_keepers_are_asked_is_noticed)
{
    list("a", first);
    start(1, true);
    service(1).observe_versions();
    m_cut.insert(name_of_host(1));
    asio::steady_timer listing(m_context, milliseconds(50));
    listing.async_wait(
        [this](const error_code&)
        {
            list("b", second);
            service(1).observe_versions();
        });
    EXPECT_EQ(find(1, "unseen").source, origin_source::unknown);
}

// Between the end of the peer's list and the first list of this host, a version
// may have come and gone.
TEST_F(origin_service_test,
       a_peer_whose_list_is_older_than_the_own_one_is_ignored)
{
    list("a", first);
    m_candidates[6].uptime = absl::Minutes(1);
    start(6, true);
    service(6).observe_versions();
    m_list_offsets[6] = log_offset(first_offset.value() - 1);
    EXPECT_EQ(find(0, "").source, origin_source::unknown);
    m_list_offsets.clear();
    EXPECT_EQ(find(0, "").origin.version, first);
}

TEST_F(origin_service_test, peers_that_name_different_versions_are_not_believed)
{
    list("a", first);
    for (const int number : {2, 4})
    {
        m_candidates[number].uptime = absl::Minutes(1);
        start(number, true);
    }
    service(2).observe_versions();
    m_servers.remove(upstream_id("a"));
    list("b", second);
    service(4).observe_versions();
    m_servers.remove(upstream_id("b"));
    EXPECT_EQ(find(0, "").source, origin_source::unknown);
    kill(2);
    EXPECT_EQ(find(0, "").origin.version, second);
}

// The settings file may still say so when the process starts again.
TEST_F(origin_service_test, a_host_that_was_listed_before_is_not_a_first_start)
{
    list("a", first);
    start(1, true);
    service(1).observe_versions();
    service(1).record_discovery(true);
    EXPECT_EQ(find(1, "").source, origin_source::unknown);
}

TEST_F(origin_service_test, a_list_read_anew_ends_what_was_observed)
{
    list("a", first);
    start(1, true);
    service(1).observe_versions();
    service(1).record_list(log_offset(first_offset.value() + 2));
    EXPECT_EQ(find(1, "").source, origin_source::unknown);
}

TEST_F(origin_service_test, hosts_that_run_for_long_enough_are_asked)
{
    list("a", first);
    m_candidates[6].uptime = absl::Minutes(1);
    start(6, true);
    service(6).observe_versions();
    EXPECT_EQ(find(0, "").origin.version, first);
    EXPECT_EQ(find(0, "unseen").origin.version, first);
    kill(6);
    EXPECT_EQ(find(0, "").source, origin_source::unknown);
}

// A stream may have begun at a version that this host does not know yet.
TEST_F(origin_service_test, a_kept_origin_goes_before_a_derived_one)
{
    list("a", second);
    start(3, true);
    service(3).observe_versions();
    begin_stream(0);
    const auto found = find(3, "first");
    EXPECT_EQ(found.origin.version, first);
    EXPECT_NE(found.source, origin_source::sole);
}

// Calls to the log cost, and a version that is known needs none.
TEST_F(origin_service_test, the_log_is_read_only_if_no_host_knows)
{
    int reads = 0;
    for (int number = 0; number < host_count; ++number)
    {
        service(number).set_log_reader(
            [&reads]() -> awaitable<void>
            {
                ++reads;
                co_return;
            });
    }
    begin_stream(0);
    EXPECT_NE(find(3, "first").source, origin_source::unknown);
    EXPECT_EQ(find(3, "").source, origin_source::unknown);
    EXPECT_EQ(reads, 0);
    EXPECT_EQ(find(3, "unseen").source, origin_source::unknown);
    EXPECT_EQ(reads, 1);
}

} // namespace
} // namespace daleshelf
