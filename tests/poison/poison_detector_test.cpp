#include <gtest/gtest.h>

#include <poison/poison_detector.hpp>
#include <poison/poison_message.hpp>

namespace daleshelf
{
namespace
{

constexpr std::size_t servers = 9;

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(1000 + seconds);
}

server_incarnation incarnation_of(int number)
{
    return {upstream_id("s" + std::to_string(number)), {}};
}

completed_response response(int number)
{
    return {incarnation_of(number), host_id("h")};
}

suspect_request request(const std::string& name)
{
    return {request_fingerprint(name), 7, service_name("service")};
}

class poison_detector_test : public testing::Test
{
protected:
    void crash(const std::string& name, int server, double seconds,
               double age = 1)
    {
        m_detector.record_crash(request(name), incarnation_of(server),
                                absl::Seconds(age), at(seconds));
    }

    // Both requests run at two crashes, and the first at four more.
    void share_two_crashes()
    {
        for (const auto* name : {"first", "second"})
        {
            crash(name, 1, 0);
            crash(name, 2, 1);
        }
        for (const int server : {3, 4, 5, 6})
        {
            crash("first", server, 2);
        }
    }

    // Two requests crash three upstreams each; a bystander runs at three.
    void crash_upstreams_under_two_requests()
    {
        for (const int server : {1, 2, 4})
        {
            crash("first", server, server);
        }
        for (const int server : {3, 5, 6})
        {
            crash("second", server, 3 + 0.2 * server - 0.6);
        }
        for (const int server : {1, 2, 3})
        {
            crash("bystander", server, server, 0.4);
        }
    }

    static poison_record record_of(const std::string& name)
    {
        poison_record record;
        record.fingerprint = request_fingerprint(name);
        record.shape = 7;
        record.service = service_name("service");
        return record;
    }

    suspicion judge(const std::string& name, double seconds)
    {
        return m_detector.judge(request_fingerprint(name), servers,
                                at(seconds));
    }

    poison_detector m_detector{poison_options()};
};

TEST_F(poison_detector_test, one_crash_confirms_nothing)
{
    crash("a", 1, 0);
    EXPECT_EQ(judge("a", 0), suspicion::suspect);
    EXPECT_EQ(judge("b", 0), suspicion::none);
    EXPECT_TRUE(m_detector.has_shape(7));
    EXPECT_FALSE(m_detector.has_shape(8));
}

TEST_F(poison_detector_test, a_second_separate_crash_confirms)
{
    crash("a", 1, 0);
    crash("a", 2, 1);
    EXPECT_EQ(judge("a", 1.25), suspicion::confirmed);
}

TEST_F(poison_detector_test, waits_for_reports_of_the_last_crash)
{
    crash("a", 1, 0);
    crash("a", 2, 1);
    EXPECT_EQ(judge("a", 1.2), suspicion::suspect);
    // Two more upstreams turn out to have crashed at that time.
    crash("b", 3, 1.21);
    crash("c", 4, 1.21);
    EXPECT_EQ(judge("a", 2), suspicion::suspect);
}

TEST_F(poison_detector_test,
       crashes_of_a_confirmed_request_are_no_evidence_against_others)
{
    for (const auto* name : {"a", "b"})
    {
        crash(name, 1, 0);
    }
    crash("a", 2, 1);
    ASSERT_EQ(judge("a", 1.25), suspicion::confirmed);
    const auto* bystander = m_detector.find(request_fingerprint("b"));
    EXPECT_DOUBLE_EQ(m_detector.weight(*bystander, servers), 0);
}

// Either may be the cause: if the first to be confirmed cleared the other, that
// one would go on to crash two more upstreams.
TEST_F(poison_detector_test,
       two_requests_with_the_same_crashes_are_both_confirmed)
{
    for (int server = 1; server <= 3; ++server)
    {
        crash("a", server, server);
        crash("b", server, server);
    }
    EXPECT_EQ(judge("a", 3.5), suspicion::confirmed);
    EXPECT_EQ(judge("b", 3.5), suspicion::confirmed);
}

// A frequent request runs beside a poison request at many of its crashes.
TEST_F(poison_detector_test,
       the_request_that_explains_crashes_better_is_confirmed_first)
{
    for (int server = 1; server <= 4; ++server)
    {
        crash("deadly", server, server);
    }
    for (int server = 1; server <= 3; ++server)
    {
        crash("beside", server, server);
    }
    EXPECT_EQ(judge("beside", 4.5), suspicion::suspect);
    EXPECT_EQ(judge("deadly", 4.5), suspicion::confirmed);
}

TEST_F(poison_detector_test, two_requests_at_each_crash_need_a_third_crash)
{
    for (const auto* name : {"a", "b"})
    {
        crash(name, 1, 0);
        crash(name, 2, 1);
    }
    EXPECT_EQ(judge("a", 1), suspicion::suspect);
    EXPECT_EQ(judge("b", 1), suspicion::suspect);
    EXPECT_EQ(judge("a", 1.5), suspicion::suspect);
    EXPECT_EQ(judge("b", 1.5), suspicion::suspect);
    crash("a", 3, 2);
    EXPECT_EQ(judge("a", 2.25), suspicion::confirmed);
    EXPECT_EQ(judge("b", 2.25), suspicion::suspect);
}

TEST_F(poison_detector_test, a_request_with_responses_is_not_confirmed)
{
    crash("a", 1, 0);
    crash("a", 2, 1);
    EXPECT_FALSE(m_detector.record_response(request_fingerprint("a"),
                                            response(3), at(1)));
    EXPECT_FALSE(m_detector.record_response(request_fingerprint("a"),
                                            response(4), at(1)));
    EXPECT_EQ(judge("a", 1), suspicion::suspect);
}

TEST_F(poison_detector_test, a_recent_response_counts_for_a_new_suspect)
{
    m_detector.record_shape_response(7, response(5), at(-30));
    m_detector.record_shape_response(7, response(6), at(-20));
    crash("hot", 1, 0);
    EXPECT_EQ(m_detector.find(request_fingerprint("hot"))->responses,
              std::set<completed_response>{response(6)});
    poison_detector later{poison_options()};
    later.record_shape_response(7, response(5), at(-61));
    later.record_crash(request("rare"), incarnation_of(1), absl::Seconds(1),
                       at(0));
    EXPECT_TRUE(later.find(request_fingerprint("rare"))->responses.empty());
}

// Guards against sending a poison request that shared its first crashes with a
// confirmed one while reports of its last crash are outstanding.
TEST_F(poison_detector_test, a_crash_that_would_confirm_a_request_holds_it_back)
{
    share_two_crashes();
    ASSERT_EQ(judge("first", 2.25), suspicion::confirmed);
    crash("second", 7, 4);
    crash("second", 8, 5);
    const request_fingerprint second("second");
    EXPECT_TRUE(m_detector.must_wait(second, servers, at(5.05)));
    EXPECT_EQ(judge("second", 5.25), suspicion::confirmed);
}

// Guards against a fourth attempt of a poison request because a confirmed one
// also ran at two of its three crashes.
TEST_F(poison_detector_test,
       crashes_shared_with_a_confirmed_request_count_to_three)
{
    share_two_crashes();
    ASSERT_EQ(judge("first", 2.25), suspicion::confirmed);
    EXPECT_EQ(judge("second", 2.25), suspicion::suspect);
    crash("second", 7, 4);
    EXPECT_EQ(judge("second", 4.25), suspicion::confirmed);
}

// Guards against rejecting a frequent request for two minutes although
// confirmed requests ran at each of its crashes.
TEST_F(poison_detector_test,
       crashes_that_confirmed_requests_explain_confirm_none)
{
    crash_upstreams_under_two_requests();
    ASSERT_EQ(judge("first", 4.25), suspicion::confirmed);
    ASSERT_EQ(judge("second", 4.25), suspicion::confirmed);
    EXPECT_EQ(judge("bystander", 4.25), suspicion::suspect);
}

// The same, with a bystander that is confirmed before the others.
TEST_F(poison_detector_test,
       a_confirmed_request_that_others_explain_is_released)
{
    auto record = record_of("bystander");
    for (const int server : {1, 2, 3})
    {
        record.crashes[incarnation_of(server)] = {at(server),
                                                  absl::Seconds(0.4)};
    }
    record.is_confirmed = true;
    m_detector.merge(record, at(3));
    ASSERT_EQ(judge("bystander", 3.5), suspicion::confirmed);
    crash_upstreams_under_two_requests();
    ASSERT_EQ(judge("first", 4.25), suspicion::confirmed);
    ASSERT_EQ(judge("second", 4.25), suspicion::confirmed);
    EXPECT_EQ(judge("bystander", 4.25), suspicion::suspect);
    crash("bystander", 7, 6);
    EXPECT_EQ(judge("bystander", 6.25), suspicion::confirmed);
}

// Guards against rejecting a frequent request for the crashes of a poison
// request: the hosts that observe the crashes are not those that received its
// responses.
TEST_F(poison_detector_test, a_host_reports_its_earlier_answer_to_a_suspect)
{
    poison_detector other{poison_options()};
    other.record_shape_response(7, response(5), at(-20));
    crash("popular", 1, 0);
    const request_fingerprint popular("popular");
    other.merge(*m_detector.find(popular), at(0.1));
    EXPECT_EQ(other.find(popular)->responses,
              std::set<completed_response>{response(5)});
    const auto reported = other.take_unsent(1);
    ASSERT_EQ(reported.size(), 1);
    EXPECT_TRUE(m_detector.merge(reported.front(), at(0.2)));
    EXPECT_EQ(m_detector.find(popular)->responses.size(), 1);
}

TEST_F(poison_detector_test,
       one_earlier_answer_does_not_excuse_a_deadly_request)
{
    m_detector.record_shape_response(7, response(8), at(-20));
    for (int server = 1; server <= 3; ++server)
    {
        crash("a", server, server);
    }
    EXPECT_EQ(m_detector.find(request_fingerprint("a"))->responses.size(), 1);
    EXPECT_EQ(judge("a", 3.25), suspicion::confirmed);
}

// Three of nine upstreams crash together, and three more one second later: a
// request that ran at one crash of each group is a bystander.
TEST_F(poison_detector_test, simultaneous_crashes_confirm_nothing)
{
    for (const double second : {0.0, 1.0})
    {
        const int first = second == 0 ? 1 : 4;
        crash("unlucky", first, second);
        crash("x" + std::to_string(first), first + 1, second + 0.1);
        crash("y" + std::to_string(first), first + 2, second + 0.2);
    }
    EXPECT_EQ(judge("unlucky", 2), suspicion::suspect);
}

TEST_F(poison_detector_test, old_records_expire_unless_confirmed)
{
    crash("a", 1, 0);
    crash("b", 2, 5);
    crash("b", 3, 10);
    EXPECT_EQ(judge("b", 10.5), suspicion::suspect) << "others crash as well";
    crash("b", 4, 11);
    EXPECT_EQ(judge("b", 11.5), suspicion::confirmed);
    EXPECT_EQ(judge("a", 71), suspicion::none);
    EXPECT_EQ(judge("b", 71), suspicion::confirmed);
}

TEST_F(poison_detector_test, one_host_at_a_time_probes_a_confirmed_request)
{
    crash("a", 1, 0);
    crash("a", 2, 1);
    ASSERT_EQ(judge("a", 1.25), suspicion::confirmed);
    const request_fingerprint fingerprint("a");
    EXPECT_FALSE(m_detector.acquire_probe(fingerprint, host_id("h1"), at(60)));
    EXPECT_EQ(m_detector.time_to_probe(fingerprint, at(61)), absl::Seconds(60));
    EXPECT_FALSE(m_detector.acquire_probe(fingerprint, host_id("h1"), at(121)));
    EXPECT_FALSE(
        m_detector.acquire_probe(fingerprint, host_id("h1"), at(121.3)));
    EXPECT_TRUE(
        m_detector.acquire_probe(fingerprint, host_id("h1"), at(121.6)));
    EXPECT_FALSE(
        m_detector.acquire_probe(fingerprint, host_id("h1"), at(121.7)));
    crash("a", 3, 123);
    EXPECT_FALSE(m_detector.acquire_probe(fingerprint, host_id("h1"), at(124)));
    EXPECT_EQ(m_detector.time_to_probe(fingerprint, at(123)),
              absl::Seconds(240));
}

TEST_F(poison_detector_test, of_two_claims_one_counts)
{
    crash("a", 1, 0);
    crash("a", 2, 1);
    ASSERT_EQ(judge("a", 1.25), suspicion::confirmed);
    const request_fingerprint fingerprint("a");
    poison_detector other{poison_options()};
    ASSERT_TRUE(other.merge(*m_detector.find(fingerprint), at(1)));
    EXPECT_FALSE(m_detector.acquire_probe(fingerprint, host_id("h2"), at(121)));
    EXPECT_FALSE(other.acquire_probe(fingerprint, host_id("h1"), at(121)));
    EXPECT_TRUE(m_detector.merge(*other.find(fingerprint), at(121.1)));
    EXPECT_FALSE(other.merge(*m_detector.find(fingerprint), at(121.1)));
    EXPECT_FALSE(
        m_detector.acquire_probe(fingerprint, host_id("h2"), at(121.6)));
    EXPECT_TRUE(other.acquire_probe(fingerprint, host_id("h1"), at(121.6)));
}

TEST_F(poison_detector_test, a_completed_probe_clears_the_request)
{
    crash("a", 1, 0);
    crash("a", 2, 1);
    ASSERT_EQ(judge("a", 1.25), suspicion::confirmed);
    const auto before = *m_detector.find(request_fingerprint("a"));
    EXPECT_TRUE(m_detector.record_response(request_fingerprint("a"),
                                           response(3), at(130)));
    EXPECT_EQ(judge("a", 130), suspicion::none);
    // A late record of the previous epoch has no effect.
    EXPECT_FALSE(m_detector.merge(before, at(131)));
    EXPECT_EQ(judge("a", 131), suspicion::none);
}

TEST_F(poison_detector_test, evidence_of_several_hosts_adds_up_in_any_order)
{
    poison_detector first{poison_options()};
    poison_detector second{poison_options()};
    first.record_crash(request("a"), incarnation_of(1), absl::Seconds(1),
                       at(0));
    second.record_crash(request("a"), incarnation_of(2), absl::Seconds(1),
                        at(1));
    const auto sent = encode_poison(first.take_unsent(10), at(1));
    EXPECT_TRUE(first.take_unsent(10).empty());
    const auto received = decode_poison(sent, at(1));
    ASSERT_TRUE(received);
    ASSERT_EQ(received->size(), 1);
    EXPECT_TRUE(second.merge(received->front(), at(1)));
    EXPECT_FALSE(second.merge(received->front(), at(1)));
    EXPECT_EQ(second.judge(request_fingerprint("a"), servers, at(1.25)),
              suspicion::confirmed);
    for (const auto& record : second.take_unsent(10))
    {
        first.merge(record, at(1.1));
    }
    EXPECT_EQ(first.judge(request_fingerprint("a"), servers, at(1.1)),
              suspicion::confirmed);
    EXPECT_FALSE(decode_poison("torn", at(0)));
}

// Guards against a merged record of a later epoch that replaces the shape: the
// shape would be missing from the counts, and the expiry of the record would
// access a missing entry.
TEST_F(poison_detector_test, a_merge_cannot_change_a_records_shape)
{
    crash("a", 1, 0);
    auto sent = *m_detector.find(request_fingerprint("a"));
    sent.epoch = 1;
    sent.shape = 8;
    m_detector.merge(sent, at(1));
    EXPECT_EQ(m_detector.find(request_fingerprint("a"))->shape, 7);
    EXPECT_EQ(judge("a", 100), suspicion::none);
    EXPECT_FALSE(m_detector.has_shape(7));
}

TEST_F(poison_detector_test, newest_records_come_first)
{
    crash("a", 1, 0);
    crash("b", 2, 1);
    crash("c", 3, 2);
    const auto newest = m_detector.newest(2);
    ASSERT_EQ(newest.size(), 2);
    EXPECT_EQ(newest[0].fingerprint, request_fingerprint("c"));
    EXPECT_EQ(newest[1].fingerprint, request_fingerprint("b"));
}

TEST_F(poison_detector_test, many_suspects_do_not_evict_a_confirmed_request)
{
    crash("a", 1, 0);
    crash("a", 2, 1);
    ASSERT_EQ(judge("a", 1.25), suspicion::confirmed);
    for (int number = 0; number < 2000; ++number)
    {
        crash("b" + std::to_string(number), 3, 2);
    }
    EXPECT_LE(m_detector.size(), poison_options().record_limit);
    EXPECT_EQ(judge("a", 2), suspicion::confirmed);
}

TEST(request_fingerprint_test, each_part_of_a_request_changes_its_fingerprint)
{
    const request_content content{workspace_id("w"), "h", "POST", "/x", "body"};
    auto other = content;
    EXPECT_EQ(fingerprint_of(other), fingerprint_of(content));
    EXPECT_EQ(shape_of(other), shape_of(content));
    other.body = "bodz";
    EXPECT_EQ(shape_of(other), shape_of(content))
        << "they differ only in the bytes of the body";
    EXPECT_NE(fingerprint_of(other), fingerprint_of(content));
    for (auto change : {0, 1, 2, 3})
    {
        other = content;
        (change == 0   ? other.host
         : change == 1 ? other.method
                       : other.target) = "other";
        if (change == 3)
        {
            other = content;
            other.workspace = workspace_id("v");
        }
        EXPECT_NE(fingerprint_of(other), fingerprint_of(content)) << change;
        EXPECT_NE(shape_of(other), shape_of(content)) << change;
    }
    // Moving bytes between adjacent parts changes the fingerprint.
    const request_content shifted{workspace_id("wh"), "", "POST", "/x", "body"};
    EXPECT_NE(fingerprint_of(shifted), fingerprint_of(content));
}

/// Prompt parts: requests that share one are otherwise different.
class poison_part_test : public testing::Test
{
protected:
    static suspect_request part(const std::string& id)
    {
        const prompt_part_content content{service_name("service"), id};
        return {fingerprint_of(content), shape_of(content),
                service_name("service"), suspect_kind::prompt_part};
    }

    void crash(const std::string& id, int server, double seconds)
    {
        m_detector.record_crash(part(id), incarnation_of(server),
                                absl::Seconds(0.2), at(seconds));
    }

    void respond(const std::string& id, int server, double seconds)
    {
        m_detector.record_shape_response(part(id).shape, response(server),
                                         at(seconds));
        m_detector.record_response(part(id).fingerprint, response(server),
                                   at(seconds));
    }

    suspicion judge(const std::string& id, double seconds)
    {
        return m_detector.judge(part(id).fingerprint, servers, at(seconds));
    }

    poison_detector m_detector{poison_options()};
};

TEST_F(poison_part_test, a_part_that_crashes_each_upstream_is_confirmed)
{
    for (const int server : {1, 2, 3})
    {
        EXPECT_NE(judge("dead", server), suspicion::confirmed);
        crash("dead", server, server);
    }
    EXPECT_EQ(judge("dead", 3.5), suspicion::confirmed);
    EXPECT_EQ(judge("other", 3.5), suspicion::none);
}

// Most requests of a route share its first part, which is at each crash.
TEST_F(poison_part_test, a_part_with_one_response_is_innocent)
{
    for (int server = 1; server <= 8; ++server)
    {
        crash("dead", server, server);
        crash("common", server, server);
        if (server == 4)
        {
            respond("common", 20, server + 0.1);
        }
    }
    EXPECT_EQ(judge("common", 9), suspicion::suspect);
    EXPECT_EQ(judge("dead", 9), suspicion::confirmed);
}

TEST_F(poison_part_test, responses_before_the_first_crash_count)
{
    respond("common", 20, 0);
    for (const int server : {1, 2, 3, 4})
    {
        crash("common", server, server);
    }
    EXPECT_EQ(judge("common", 5), suspicion::suspect);
}

TEST_F(poison_part_test, a_response_clears_a_confirmed_part)
{
    for (const int server : {1, 2, 3})
    {
        crash("dead", server, server);
    }
    EXPECT_EQ(judge("dead", 4), suspicion::confirmed);
    respond("dead", 20, 5);
    EXPECT_NE(judge("dead", 5), suspicion::confirmed);
}

// Another host has confirmed a part that this one has seen answered.
TEST_F(poison_part_test, a_prior_response_clears_a_reported_confirmation)
{
    respond("common", 20, 0);
    poison_detector other{poison_options()};
    for (const int server : {1, 2, 3})
    {
        other.record_crash(part("common"), incarnation_of(server),
                           absl::Seconds(0.2), at(server));
    }
    EXPECT_EQ(other.judge(part("common").fingerprint, servers, at(4)),
              suspicion::confirmed);
    const auto encoded =
        encode_poison({*other.find(part("common").fingerprint)}, at(4));
    const auto received = decode_poison(encoded, at(4));
    ASSERT_TRUE(received);
    EXPECT_EQ(received->front().kind, suspect_kind::prompt_part);
    EXPECT_TRUE(m_detector.merge(received->front(), at(4)));
    EXPECT_NE(judge("common", 4), suspicion::confirmed);
    other.merge(*m_detector.find(part("common").fingerprint), at(4.1));
    EXPECT_NE(other.judge(part("common").fingerprint, servers, at(4.1)),
              suspicion::confirmed);
}

// A request that runs beside a deadly part is explained by it.
TEST_F(poison_part_test, a_request_beside_a_confirmed_part_is_no_poison)
{
    for (int server = 1; server <= 4; ++server)
    {
        crash("dead", server, server);
        if (server > 1)
        {
            m_detector.record_crash(request("popular"), incarnation_of(server),
                                    absl::Seconds(1), at(server));
        }
    }
    EXPECT_EQ(judge("dead", 5), suspicion::confirmed);
    EXPECT_EQ(m_detector.judge(request("popular").fingerprint, servers, at(5)),
              suspicion::suspect);
}

TEST_F(poison_part_test, two_deadly_parts_are_both_confirmed)
{
    for (const int server : {1, 2, 3})
    {
        crash("first", server, server);
        crash("second", server + 10, server + 0.5);
    }
    EXPECT_EQ(judge("first", 5), suspicion::confirmed);
    EXPECT_EQ(judge("second", 5), suspicion::confirmed);
}

} // namespace
} // namespace daleshelf
