#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <tests/support/child_process.hpp>
#include <tests/support/temporary_folder.hpp>

namespace daleshelf
{
namespace
{

std::string read_document(const std::string& path)
{
    std::ifstream input(std::string(DALESHELF_SOURCE) + "/" + path);
    return {std::istreambuf_iterator<char>(input), {}};
}

TEST(documents, list_every_log_event)
{
    const auto table =
        test::run_program("daleshelfd", {"--list-events"}).output;
    EXPECT_FALSE(table.empty());
    EXPECT_NE(std::string::npos, read_document("docs/EVENTS.md").find(table));
}

TEST(documents, list_every_setting)
{
    const auto table =
        test::run_program("daleshelfd", {"--list-settings"}).output;
    EXPECT_FALSE(table.empty());
    EXPECT_NE(std::string::npos, read_document("docs/SETTINGS.md").find(table));
}

TEST(documents, give_an_example_of_settings_that_is_valid)
{
    const auto result = test::run_program(
        "daleshelfd",
        {"--check-settings", "--settings",
         std::string(DALESHELF_SOURCE) + "/examples/settings/daleshelfd.toml"});
    EXPECT_EQ(0, result.exit_code) << result.errors;
}

TEST(daemon, names_all_faults_of_its_settings_and_does_not_start)
{
    const test::temporary_folder folder;
    const auto file = folder.write("bad.toml", "[host]\nid = 7\n[x]\ny = 1\n");
    const auto result = test::run_program("daleshelfd", {"--settings", file});
    EXPECT_EQ(2, result.exit_code);
    for (const auto* key : {"host.id", "host.hall", "platform.url", "x.y"})
    {
        EXPECT_NE(std::string::npos, result.errors.find(key)) << key;
    }
}

} // namespace
} // namespace daleshelf
