#include <gtest/gtest.h>

#include <chrono>
#include <fstream>
#include <settings/file_watch.hpp>

namespace daleshelf
{
namespace
{

class file_watch_test : public testing::Test
{
protected:
    file_watch_test()
        : m_path(std::filesystem::path(testing::TempDir()) /
                 ("file_watch_" + std::to_string(::getpid())))
    {
        write();
    }

    ~file_watch_test() override
    {
        std::filesystem::remove(m_path);
    }

    void write() const
    {
        std::ofstream(m_path) << "a = 1\n";
    }

    // Sets the time of writing: two writes may fall into one tick of the clock.
    void touch(int seconds) const
    {
        std::filesystem::last_write_time(
            m_path, std::filesystem::last_write_time(m_path) +
                        std::chrono::seconds(seconds));
    }

    std::filesystem::path m_path;
};

TEST_F(file_watch_test, notices_each_writing_once)
{
    file_watch watch(m_path.string());
    EXPECT_FALSE(watch.has_changed());
    touch(1);
    EXPECT_TRUE(watch.has_changed());
    EXPECT_FALSE(watch.has_changed());
    touch(-5);
    EXPECT_TRUE(watch.has_changed()) << "an older file is another one";
}

TEST_F(file_watch_test, a_file_that_is_gone_is_read_when_it_is_back)
{
    file_watch watch(m_path.string());
    std::filesystem::remove(m_path);
    EXPECT_FALSE(watch.has_changed());
    write();
    EXPECT_TRUE(watch.has_changed());
}

} // namespace
} // namespace daleshelf
