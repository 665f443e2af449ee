#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <leases/lease_keeper.hpp>
#include <memory>

namespace daleshelf
{
namespace
{

const lease_name planner("planner/a");

struct lease_log
{
    std::vector<std::string> records;
    bool is_down = false;
    bool loses_answers = false;
};

/// A host that tries to hold the lease; it may be paused.
class contender
{
public:
    contender(lease_log& log, const std::string& name, std::uint64_t seed)
        : keeper(planner, host_id(name), incarnation(1), lease_options(), seed)
        , m_log(log)
    {
    }

    void tick(absl::Time now)
    {
        for (const auto& action : keeper.on_tick(now))
        {
            if (const auto* read = std::get_if<read_leases>(&action))
            {
                keeper.on_records(read_log(read->from), now);
                continue;
            }
            const auto& append = std::get<append_lease>(action);
            log_append_result result;
            if (!m_log.is_down)
            {
                m_log.records.push_back(append.data);
                if (!m_log.loses_answers)
                {
                    result.state = log_append_result::outcome::appended;
                }
            }
            keeper.on_appended(result, now);
        }
    }

    lease_keeper keeper;

private:
    log_read_result read_log(log_offset from) const
    {
        log_read_result result;
        if (m_log.is_down)
        {
            return result;
        }
        result.state = log_read_result::outcome::records;
        const auto end = static_cast<std::int64_t>(m_log.records.size());
        result.next = log_offset(end);
        for (auto i = from.value(); i < end; ++i)
        {
            result.records.push_back(
                {log_offset(i), m_log.records[static_cast<std::size_t>(i)]});
        }
        return result;
    }

    lease_log& m_log;
};

constexpr absl::Duration step = absl::Milliseconds(500);

TEST(lease_keeper, passes_a_lease_on_when_its_holder_is_gone)
{
    lease_log log;
    contender one(log, "one", 1);
    contender other(log, "other", 2);
    auto now = absl::UnixEpoch();
    for (int i = 0; i < 6; ++i)
    {
        now += step;
        one.tick(now);
        other.tick(now);
    }
    const auto first = one.keeper.held(now);
    ASSERT_TRUE(first.has_value());
    EXPECT_FALSE(other.keeper.held(now).has_value());
    for (int i = 0; i < 40; ++i)
    {
        now += step;
        other.tick(now);
    }
    const auto second = other.keeper.held(now);
    ASSERT_TRUE(second.has_value());
    EXPECT_GT(*second, *first) << "the token must grow";
    one.tick(now);
    EXPECT_FALSE(one.keeper.held(now).has_value());
}

TEST(lease_keeper, stops_at_the_lapse_while_the_log_is_down)
{
    lease_log log;
    contender host(log, "one", 1);
    auto now = absl::UnixEpoch();
    for (int i = 0; i < 6; ++i)
    {
        now += step;
        host.tick(now);
    }
    ASSERT_TRUE(host.keeper.held(now).has_value());
    log.is_down = true;
    for (int i = 0; i < 30; ++i)
    {
        now += step;
        host.tick(now);
    }
    EXPECT_FALSE(host.keeper.held(now).has_value());
    EXPECT_TRUE(host.keeper.last_token().has_value())
        << "good towards those that check tokens";
}

TEST(lease_keeper, does_not_believe_in_its_lease_after_a_pause)
{
    lease_log log;
    contender host(log, "one", 1);
    auto now = absl::UnixEpoch();
    for (int i = 0; i < 6; ++i)
    {
        now += step;
        host.tick(now);
    }
    now += absl::Minutes(1);
    EXPECT_FALSE(host.keeper.held(now).has_value());
}

/// Whatever is lost and whoever is paused, two hosts never hold it at once.
RC_GTEST_PROP(lease_keeper, is_held_by_one_host_at_a_time, ())
{
    lease_log log;
    std::vector<std::unique_ptr<contender>> hosts;
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        hosts.push_back(
            std::make_unique<contender>(log, "host-" + std::to_string(i), i));
    }
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 120));
    auto now = absl::UnixEpoch();
    std::size_t paused = 99;
    for (const int one : steps)
    {
        log.loses_answers = one % 3 == 0;
        log.is_down = one % 13 == 0;
        if (one % 10 == 0)
        {
            paused = static_cast<std::size_t>(one / 10) % 4;
        }
        now += step * (1 + one % 8);
        int holders = 0;
        for (std::size_t i = 0; i < hosts.size(); ++i)
        {
            if (i != paused)
            {
                hosts[i]->tick(now);
            }
        }
        for (const auto& host : hosts)
        {
            holders += host->keeper.held(now).has_value() ? 1 : 0;
        }
        RC_ASSERT(holders <= 1);
    }
}

} // namespace
} // namespace daleshelf
