#include <gtest/gtest.h>

#include <poison/poison_message.hpp>
#include <poison/poison_watch.hpp>

namespace daleshelf
{
namespace
{

constexpr std::size_t servers = 9;

absl::Time at(double seconds)
{
    return absl::UnixEpoch() + absl::Seconds(1000 + seconds);
}

server_life life(int number)
{
    return {upstream_id("s" + std::to_string(number)), {}};
}

whole_answer answer(int number)
{
    return {life(number), host_id("h")};
}

suspect_request request(const std::string& name)
{
    return {request_print(name), 7, service_name("service")};
}

class poison_watch_test : public testing::Test
{
protected:
    void end(const std::string& name, int server, double seconds,
             double ran = 1)
    {
        m_watch.note_end(request(name), life(server), absl::Seconds(ran),
                         at(seconds));
    }

    // Both were at two ends, and the first at four more.
    void share_two_ends()
    {
        for (const auto* name : {"first", "second"})
        {
            end(name, 1, 0);
            end(name, 2, 1);
        }
        for (const int server : {3, 4, 5, 6})
        {
            end("first", server, 2);
        }
    }

    // Two requests crash three upstreams each; a third one was at three.
    void crash_upstreams_under_two_requests()
    {
        for (const int server : {1, 2, 4})
        {
            end("first", server, server);
        }
        for (const int server : {3, 5, 6})
        {
            end("second", server, 3 + 0.2 * server - 0.6);
        }
        for (const int server : {1, 2, 3})
        {
            end("bystander", server, server, 0.4);
        }
    }

    static poison_record record_of(const std::string& name)
    {
        poison_record record;
        record.print = request_print(name);
        record.shape = 7;
        record.service = service_name("service");
        return record;
    }

    suspicion judge(const std::string& name, double seconds)
    {
        return m_watch.judge(request_print(name), servers, at(seconds));
    }

    poison_watch m_watch{poison_options()};
};

TEST_F(poison_watch_test, one_end_proves_nothing)
{
    end("a", 1, 0);
    EXPECT_EQ(judge("a", 0), suspicion::suspect);
    EXPECT_EQ(judge("b", 0), suspicion::none);
    EXPECT_TRUE(m_watch.may_know(7));
    EXPECT_FALSE(m_watch.may_know(8));
}

TEST_F(poison_watch_test, a_second_end_alone_in_its_time_proves_it)
{
    end("a", 1, 0);
    end("a", 2, 1);
    EXPECT_EQ(judge("a", 1.25), suspicion::proved);
}

TEST_F(poison_watch_test, waits_for_what_others_saw_of_that_time)
{
    end("a", 1, 0);
    end("a", 2, 1);
    EXPECT_EQ(judge("a", 1.2), suspicion::suspect);
    // Word comes that two more ended then.
    end("b", 3, 1.21);
    end("c", 4, 1.21);
    EXPECT_EQ(judge("a", 2), suspicion::suspect);
}

TEST_F(poison_watch_test, ends_of_a_proved_one_are_no_evidence_against_others)
{
    for (const auto* name : {"a", "b"})
    {
        end(name, 1, 0);
    }
    end("a", 2, 1);
    ASSERT_EQ(judge("a", 1.25), suspicion::proved);
    const auto* beside = m_watch.find(request_print("b"));
    EXPECT_DOUBLE_EQ(m_watch.weight(*beside, servers), 0);
}

// Either may have ended the servers: the first to be proved had cleared the
// other, which then ended two more.
TEST_F(poison_watch_test,
       of_two_that_were_always_together_none_clears_the_other)
{
    for (int server = 1; server <= 3; ++server)
    {
        end("a", server, server);
        end("b", server, server);
    }
    EXPECT_EQ(judge("a", 3.5), suspicion::proved);
    EXPECT_EQ(judge("b", 3.5), suspicion::proved);
}

// What is asked for all the time is at ends of one that ends servers.
TEST_F(poison_watch_test, what_explains_the_ends_better_is_judged_first)
{
    for (int server = 1; server <= 4; ++server)
    {
        end("deadly", server, server);
    }
    for (int server = 1; server <= 3; ++server)
    {
        end("beside", server, server);
    }
    EXPECT_EQ(judge("beside", 4.5), suspicion::suspect);
    EXPECT_EQ(judge("deadly", 4.5), suspicion::proved);
}

TEST_F(poison_watch_test, one_that_was_beside_it_each_time_waits_for_a_third)
{
    for (const auto* name : {"a", "b"})
    {
        end(name, 1, 0);
        end(name, 2, 1);
    }
    EXPECT_EQ(judge("a", 1), suspicion::suspect);
    EXPECT_EQ(judge("b", 1), suspicion::suspect);
    EXPECT_EQ(judge("a", 1.5), suspicion::suspect);
    EXPECT_EQ(judge("b", 1.5), suspicion::suspect);
    end("a", 3, 2);
    EXPECT_EQ(judge("a", 2.25), suspicion::proved);
    EXPECT_EQ(judge("b", 2.25), suspicion::suspect);
}

TEST_F(poison_watch_test, one_that_servers_answer_is_not_to_blame)
{
    end("a", 1, 0);
    end("a", 2, 1);
    EXPECT_FALSE(m_watch.note_whole(request_print("a"), answer(3), at(1)));
    EXPECT_FALSE(m_watch.note_whole(request_print("a"), answer(4), at(1)));
    EXPECT_EQ(judge("a", 1), suspicion::suspect);
}

TEST_F(poison_watch_test, one_that_was_answered_lately_was_beside_by_chance)
{
    m_watch.note_answered(7, answer(5), at(-30));
    m_watch.note_answered(7, answer(6), at(-20));
    end("hot", 1, 0);
    EXPECT_EQ(m_watch.find(request_print("hot"))->whole,
              std::set<whole_answer>{answer(6)});
    poison_watch later{poison_options()};
    later.note_answered(7, answer(5), at(-61));
    later.note_end(request("rare"), life(1), absl::Seconds(1), at(0));
    EXPECT_TRUE(later.find(request_print("rare"))->whole.empty());
}

// A deadly request that shared its first ends with a confirmed one was sent on
// while the report of its last end was outstanding.
TEST_F(poison_watch_test, an_end_that_would_confirm_a_request_holds_it_back)
{
    share_two_ends();
    ASSERT_EQ(judge("first", 2.25), suspicion::proved);
    end("second", 7, 4);
    end("second", 8, 5);
    const request_print second("second");
    EXPECT_TRUE(m_watch.must_wait(second, servers, at(5.05)));
    EXPECT_EQ(judge("second", 5.25), suspicion::proved);
}

// A deadly request was sent a fourth time because a confirmed one had also been
// at two of its three ends.
TEST_F(poison_watch_test, ends_shared_with_a_confirmed_request_count_to_three)
{
    share_two_ends();
    ASSERT_EQ(judge("first", 2.25), suspicion::proved);
    EXPECT_EQ(judge("second", 2.25), suspicion::suspect);
    end("second", 7, 4);
    EXPECT_EQ(judge("second", 4.25), suspicion::proved);
}

// A popular request was rejected for two minutes although confirmed requests
// had been at each of its crashes.
TEST_F(poison_watch_test, crashes_that_confirmed_requests_explain_confirm_none)
{
    crash_upstreams_under_two_requests();
    ASSERT_EQ(judge("first", 4.25), suspicion::proved);
    ASSERT_EQ(judge("second", 4.25), suspicion::proved);
    EXPECT_EQ(judge("bystander", 4.25), suspicion::suspect);
}

// The same, where the bystander was confirmed before the others.
TEST_F(poison_watch_test, a_confirmed_request_that_others_explain_is_released)
{
    auto record = record_of("bystander");
    for (const int server : {1, 2, 3})
    {
        record.ends[life(server)] = {at(server), absl::Seconds(0.4)};
    }
    record.is_proved = true;
    m_watch.merge(record, at(3));
    ASSERT_EQ(judge("bystander", 3.5), suspicion::proved);
    crash_upstreams_under_two_requests();
    ASSERT_EQ(judge("first", 4.25), suspicion::proved);
    ASSERT_EQ(judge("second", 4.25), suspicion::proved);
    EXPECT_EQ(judge("bystander", 4.25), suspicion::suspect);
    end("bystander", 7, 6);
    EXPECT_EQ(judge("bystander", 6.25), suspicion::proved);
}

// A popular request was refused for the ends of a deadly one: the hosts that
// saw the servers end were not those that had received its answers.
TEST_F(poison_watch_test, a_host_reports_its_earlier_answer_to_a_suspect)
{
    poison_watch other{poison_options()};
    other.note_answered(7, answer(5), at(-20));
    end("popular", 1, 0);
    const request_print popular("popular");
    other.merge(*m_watch.find(popular), at(0.1));
    EXPECT_EQ(other.find(popular)->whole, std::set<whole_answer>{answer(5)});
    const auto reported = other.take_news(1);
    ASSERT_EQ(reported.size(), 1);
    EXPECT_TRUE(m_watch.merge(reported.front(), at(0.2)));
    EXPECT_EQ(m_watch.find(popular)->whole.size(), 1);
}

TEST_F(poison_watch_test, one_earlier_answer_does_not_excuse_a_deadly_request)
{
    m_watch.note_answered(7, answer(8), at(-20));
    for (int server = 1; server <= 3; ++server)
    {
        end("a", server, server);
    }
    EXPECT_EQ(m_watch.find(request_print("a"))->whole.size(), 1);
    EXPECT_EQ(judge("a", 3.25), suspicion::proved);
}

// Three of nine servers end at once, and a second later three more: whoever
// was at one of each had bad luck.
TEST_F(poison_watch_test, ends_of_many_servers_at_once_prove_nothing)
{
    for (const double second : {0.0, 1.0})
    {
        const int first = second == 0 ? 1 : 4;
        end("unlucky", first, second);
        end("x" + std::to_string(first), first + 1, second + 0.1);
        end("y" + std::to_string(first), first + 2, second + 0.2);
    }
    EXPECT_EQ(judge("unlucky", 2), suspicion::suspect);
}

TEST_F(poison_watch_test, what_is_old_is_forgotten_unless_it_is_proved)
{
    end("a", 1, 0);
    end("b", 2, 5);
    end("b", 3, 10);
    EXPECT_EQ(judge("b", 10.5), suspicion::suspect) << "others end as well";
    end("b", 4, 11);
    EXPECT_EQ(judge("b", 11.5), suspicion::proved);
    EXPECT_EQ(judge("a", 71), suspicion::none);
    EXPECT_EQ(judge("b", 71), suspicion::proved);
}

TEST_F(poison_watch_test, one_host_alone_tries_a_proved_one_again)
{
    end("a", 1, 0);
    end("a", 2, 1);
    ASSERT_EQ(judge("a", 1.25), suspicion::proved);
    const request_print print("a");
    EXPECT_FALSE(m_watch.may_try(print, host_id("h1"), at(60)));
    EXPECT_EQ(m_watch.time_to_trial(print, at(61)), absl::Seconds(60));
    EXPECT_FALSE(m_watch.may_try(print, host_id("h1"), at(121)));
    EXPECT_FALSE(m_watch.may_try(print, host_id("h1"), at(121.3)));
    EXPECT_TRUE(m_watch.may_try(print, host_id("h1"), at(121.6)));
    EXPECT_FALSE(m_watch.may_try(print, host_id("h1"), at(121.7)));
    end("a", 3, 123);
    EXPECT_FALSE(m_watch.may_try(print, host_id("h1"), at(124)));
    EXPECT_EQ(m_watch.time_to_trial(print, at(123)), absl::Seconds(240));
}

TEST_F(poison_watch_test, of_two_claims_one_counts)
{
    end("a", 1, 0);
    end("a", 2, 1);
    ASSERT_EQ(judge("a", 1.25), suspicion::proved);
    const request_print print("a");
    poison_watch other{poison_options()};
    ASSERT_TRUE(other.merge(*m_watch.find(print), at(1)));
    EXPECT_FALSE(m_watch.may_try(print, host_id("h2"), at(121)));
    EXPECT_FALSE(other.may_try(print, host_id("h1"), at(121)));
    EXPECT_TRUE(m_watch.merge(*other.find(print), at(121.1)));
    EXPECT_FALSE(other.merge(*m_watch.find(print), at(121.1)));
    EXPECT_FALSE(m_watch.may_try(print, host_id("h2"), at(121.6)));
    EXPECT_TRUE(other.may_try(print, host_id("h1"), at(121.6)));
}

TEST_F(poison_watch_test, one_that_is_answered_when_tried_again_comes_back)
{
    end("a", 1, 0);
    end("a", 2, 1);
    ASSERT_EQ(judge("a", 1.25), suspicion::proved);
    const auto before = *m_watch.find(request_print("a"));
    EXPECT_TRUE(m_watch.note_whole(request_print("a"), answer(3), at(130)));
    EXPECT_EQ(judge("a", 130), suspicion::none);
    // Late words of before bring nothing back.
    EXPECT_FALSE(m_watch.merge(before, at(131)));
    EXPECT_EQ(judge("a", 131), suspicion::none);
}

TEST_F(poison_watch_test, evidence_of_several_hosts_adds_up_in_any_order)
{
    poison_watch first{poison_options()};
    poison_watch second{poison_options()};
    first.note_end(request("a"), life(1), absl::Seconds(1), at(0));
    second.note_end(request("a"), life(2), absl::Seconds(1), at(1));
    const auto told = encode_poison(first.take_news(10), at(1));
    EXPECT_TRUE(first.take_news(10).empty());
    const auto heard = decode_poison(told, at(1));
    ASSERT_TRUE(heard);
    ASSERT_EQ(heard->size(), 1);
    EXPECT_TRUE(second.merge(heard->front(), at(1)));
    EXPECT_FALSE(second.merge(heard->front(), at(1)));
    EXPECT_EQ(second.judge(request_print("a"), servers, at(1.25)),
              suspicion::proved);
    for (const auto& record : second.take_news(10))
    {
        first.merge(record, at(1.1));
    }
    EXPECT_EQ(first.judge(request_print("a"), servers, at(1.1)),
              suspicion::proved);
    EXPECT_FALSE(decode_poison("torn", at(0)));
}

// A word of a later epoch took the shape of a record with it, which the count
// of shapes did not know: forgetting that record read beyond it.
TEST_F(poison_watch_test, a_word_cannot_change_a_records_shape)
{
    end("a", 1, 0);
    auto told = *m_watch.find(request_print("a"));
    told.epoch = 1;
    told.shape = 8;
    m_watch.merge(told, at(1));
    EXPECT_EQ(m_watch.find(request_print("a"))->shape, 7);
    EXPECT_EQ(judge("a", 100), suspicion::none);
    EXPECT_FALSE(m_watch.may_know(7));
}

TEST_F(poison_watch_test, names_what_changed_last)
{
    end("a", 1, 0);
    end("b", 2, 1);
    end("c", 3, 2);
    const auto newest = m_watch.newest(2);
    ASSERT_EQ(newest.size(), 2);
    EXPECT_EQ(newest[0].print, request_print("c"));
    EXPECT_EQ(newest[1].print, request_print("b"));
}

TEST_F(poison_watch_test, many_suspects_make_nobody_forget_a_proved_one)
{
    end("a", 1, 0);
    end("a", 2, 1);
    ASSERT_EQ(judge("a", 1.25), suspicion::proved);
    for (int number = 0; number < 2000; ++number)
    {
        end("b" + std::to_string(number), 3, 2);
    }
    EXPECT_LE(m_watch.size(), poison_options().most_records);
    EXPECT_EQ(judge("a", 2), suspicion::proved);
}

TEST(request_print_test, each_part_of_a_request_tells_it_from_others)
{
    const request_content content{workspace_id("w"), "h", "POST", "/x", "body"};
    auto other = content;
    EXPECT_EQ(print_of(other), print_of(content));
    EXPECT_EQ(shape_of(other), shape_of(content));
    other.body = "bodz";
    EXPECT_EQ(shape_of(other), shape_of(content)) << "alike in all but bytes";
    EXPECT_NE(print_of(other), print_of(content));
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
        EXPECT_NE(print_of(other), print_of(content)) << change;
        EXPECT_NE(shape_of(other), shape_of(content)) << change;
    }
    // Parts cannot be shifted into one another.
    const request_content shifted{workspace_id("wh"), "", "POST", "/x", "body"};
    EXPECT_NE(print_of(shifted), print_of(content));
}

} // namespace
} // namespace daleshelf
