#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <claims/claim_replica.hpp>
#include <map>
#include <memory>

namespace daleshelf
{
namespace
{

using state = claim_outcome::state;

/// The stream of claims, with faults that a test switches on.
struct claim_log
{
    std::vector<std::string> records;
    std::int64_t first = 0;
    bool is_down = false;
    bool loses_responses = false;
    bool loses_appends = false;
};

/// One host and the outcomes that it received.
class claiming_host
{
public:
    claiming_host(claim_log& log, std::uint64_t seed)
        : replica(claim_options(), seed), m_log(log)
    {
    }

    void tick()
    {
        now += absl::Milliseconds(600);
        perform(replica.on_tick(now));
    }

    void claim_key_for(const std::string& key, const std::string& request,
                       const std::string& body = "b")
    {
        const claim proposed{claim_key(key), request_id(request), body, now,
                             false};
        const auto known =
            replica.propose(proposed, now + absl::Seconds(3), now);
        if (known)
        {
            outcomes[request] = *known;
        }
    }

    absl::Time now = absl::FromUnixSeconds(1000000);
    std::map<std::string, claim_outcome> outcomes;
    claim_replica replica;

private:
    void perform(const claim_actions& actions)
    {
        for (const auto& action : actions)
        {
            std::visit([this](const auto& one) { on(one); }, action);
        }
    }

    void on(const read_claims& action)
    {
        log_read_result result;
        if (!m_log.is_down)
        {
            const auto end = static_cast<std::int64_t>(m_log.records.size());
            result.first = log_offset(m_log.first);
            result.next = log_offset(end);
            result.state = action.from < result.first
                               ? log_read_result::outcome::trimmed
                               : log_read_result::outcome::records;
            for (auto i = action.from.value();
                 i < end && action.from >= result.first; ++i)
            {
                result.records.push_back(
                    {log_offset(i),
                     m_log.records[static_cast<std::size_t>(i)]});
            }
        }
        perform(replica.on_records(result, now));
    }

    void on(const append_claims& action)
    {
        log_append_result result;
        if (!m_log.is_down && !m_log.loses_appends)
        {
            m_log.records.push_back(action.data);
            result.offset =
                log_offset(static_cast<std::int64_t>(m_log.records.size()) - 1);
            if (!m_log.loses_responses)
            {
                result.state = log_append_result::outcome::appended;
            }
        }
        replica.on_appended(result, now);
    }

    void on(const claim_resolved& action)
    {
        EXPECT_FALSE(outcomes.contains(action.request.value()));
        outcomes[action.request.value()] = action.outcome;
    }

    claim_log& m_log;
};

void run(const std::vector<claiming_host*>& hosts, int ticks)
{
    for (int i = 0; i < ticks; ++i)
    {
        for (auto* host : hosts)
        {
            host->tick();
        }
    }
}

TEST(claim_replica, lets_one_of_two_hosts_win_a_key)
{
    claim_log log;
    claiming_host one(log, 1);
    claiming_host other(log, 2);
    run({&one, &other}, 2);
    one.claim_key_for("k", "r1");
    other.claim_key_for("k", "r2");
    run({&one, &other}, 5);
    EXPECT_EQ(state::won, one.outcomes.at("r1").decision);
    EXPECT_EQ(state::lost, other.outcomes.at("r2").decision);
    EXPECT_EQ(request_id("r1"), other.outcomes.at("r2").winner);
}

TEST(claim_replica, recognises_its_own_claim_after_a_lost_response)
{
    claim_log log;
    log.loses_responses = true;
    claiming_host host(log, 1);
    run({&host}, 2);
    host.claim_key_for("k", "r1");
    run({&host}, 5);
    EXPECT_EQ(state::won, host.outcomes.at("r1").decision);
}

TEST(claim_replica, rejects_claims_while_the_log_is_down)
{
    claim_log log;
    claiming_host host(log, 1);
    run({&host}, 2);
    log.is_down = true;
    run({&host}, 2);
    host.claim_key_for("k", "r1");
    EXPECT_EQ(state::unavailable, host.outcomes.at("r1").decision);
}

TEST(claim_replica, releases_a_key_whose_claim_timed_out)
{
    claim_log log;
    claiming_host host(log, 1);
    run({&host}, 2);
    log.loses_appends = true;
    host.claim_key_for("k", "r1");
    run({&host}, 8);
    ASSERT_EQ(state::unavailable, host.outcomes.at("r1").decision);
    log.loses_appends = false;
    run({&host}, 20);
    host.claim_key_for("k", "r2");
    run({&host}, 5);
    EXPECT_EQ(state::won, host.outcomes.at("r2").decision);
}

TEST(claim_replica, rejects_claims_after_unread_records_were_trimmed)
{
    claim_log log;
    claiming_host first(log, 1);
    run({&first}, 2);
    first.claim_key_for("k", "r1");
    run({&first}, 3);
    first.claim_key_for("other", "r2");
    run({&first}, 3);
    log.first = static_cast<std::int64_t>(log.records.size());
    claiming_host late(log, 2);
    run({&late}, 5);
    late.claim_key_for("k", "r3");
    EXPECT_EQ(state::unavailable, late.outcomes.at("r3").decision);
    late.now += absl::Hours(2);
    run({&late}, 3);
    late.claim_key_for("k", "r4");
    run({&late}, 3);
    EXPECT_EQ(state::won, late.outcomes.at("r4").decision);
}

TEST(claim_replica, detects_another_body_under_the_same_key)
{
    claim_log log;
    claiming_host host(log, 1);
    run({&host}, 2);
    host.claim_key_for("k", "r1", "one");
    run({&host}, 3);
    host.claim_key_for("k", "r2", "two");
    EXPECT_EQ(state::mismatch, host.outcomes.at("r2").decision);
}

/// Lost appends, lost responses and outages of the log never let two requests
/// win the same key.
RC_GTEST_PROP(claim_replica, never_lets_two_requests_win_one_key, ())
{
    claim_log log;
    std::vector<std::unique_ptr<claiming_host>> hosts;
    std::vector<claiming_host*> all;
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        hosts.push_back(std::make_unique<claiming_host>(log, i));
        all.push_back(hosts.back().get());
    }
    run(all, 2);
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
    std::map<std::string, std::string> key_of;
    int number = 0;
    for (const int step : steps)
    {
        log.loses_responses = step % 3 == 0;
        log.loses_appends = step % 5 == 0;
        log.is_down = step % 11 == 0;
        auto& host = *hosts[static_cast<std::size_t>(step) % hosts.size()];
        const auto key = "k" + std::to_string(step % 4);
        const auto request = "r" + std::to_string(number++);
        key_of[request] = key;
        host.claim_key_for(key, request);
        hosts[static_cast<std::size_t>(step / 3) % hosts.size()]->tick();
    }
    log = {log.records, 0, false, false, false};
    run(all, 30);
    std::map<std::string, int> wins;
    for (const auto& host : hosts)
    {
        for (const auto& [request, outcome] : host->outcomes)
        {
            wins[key_of.at(request)] += outcome.decision == state::won ? 1 : 0;
        }
    }
    for (const auto& [key, count] : wins)
    {
        RC_ASSERT(count <= 1);
    }
    RC_ASSERT(key_of.empty() || !wins.empty());
}

} // namespace
} // namespace daleshelf
