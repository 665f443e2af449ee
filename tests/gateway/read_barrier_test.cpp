#include <gtest/gtest.h>

#include <gateway/read_barrier.hpp>
#include <thread>

namespace daleshelf
{
namespace
{

/// Reads that end when the test says so.
class read_barrier_test : public testing::Test
{
protected:
    /// Starts a call, whose result is appended when it ends.
    void call(milliseconds timeout = milliseconds(1000))
    {
        asio::co_spawn(
            m_context, [this, timeout] { return m_barrier.pass(timeout); },
            [this](const std::exception_ptr&, bool has_succeeded)
            { m_results.push_back(has_succeeded); });
        run();
    }

    void finish_read(bool has_succeeded)
    {
        m_has_succeeded = has_succeeded;
        m_finish.notify();
        run();
    }

    void run()
    {
        m_context.restart();
        m_context.run_for(milliseconds(5));
    }

    asio::io_context m_context;
    async_event m_finish{m_context.get_executor()};
    int m_reads = 0;
    bool m_has_succeeded = true;
    std::vector<bool> m_results;
    read_barrier m_barrier{m_context,
                           [this]() -> awaitable<bool>
                           {
                               ++m_reads;
                               co_await m_finish.wait_for(milliseconds(60000));
                               co_return m_has_succeeded;
                           }};
};

// A read that is in flight may have been answered before the call.
TEST_F(read_barrier_test, a_read_in_flight_does_not_serve_later_calls)
{
    call();
    call();
    call();
    EXPECT_EQ(m_reads, 1);
    finish_read(true);
    EXPECT_EQ(m_results, std::vector<bool>{true});
    EXPECT_EQ(m_reads, 2);
    finish_read(true);
    EXPECT_EQ(m_results, (std::vector<bool>{true, true, true}));
    EXPECT_EQ(m_reads, 2);
}

TEST_F(read_barrier_test, a_failed_read_rejects_calls_at_once_for_a_while)
{
    call();
    finish_read(false);
    call();
    EXPECT_EQ(m_results, (std::vector<bool>{false, false}));
    EXPECT_EQ(m_reads, 1);
    m_context.restart();
    m_context.run_for(milliseconds(1));
    std::this_thread::sleep_for(milliseconds(510));
    call();
    finish_read(true);
    EXPECT_EQ(m_results, (std::vector<bool>{false, false, true}));
}

TEST_F(read_barrier_test, a_read_that_hangs_fails_its_callers_in_time)
{
    call(milliseconds(1));
    run();
    EXPECT_EQ(m_results, std::vector<bool>{false});
}

} // namespace
} // namespace daleshelf
