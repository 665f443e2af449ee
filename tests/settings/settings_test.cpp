#include <gtest/gtest.h>

#include <settings/settings_document.hpp>
#include <tests/support/temporary_folder.hpp>

namespace daleshelf
{
namespace
{

struct sample_settings
{
    std::string name;
    std::int64_t port = 80;
    std::vector<std::string> peers;
};

const std::vector<setting<sample_settings>>& sample_table()
{
    static const std::vector<setting<sample_settings>> table{
        {"name", &sample_settings::name, "a name", setting_presence::required},
        {"listen.port",
         &sample_settings::port,
         "a port",
         setting_presence::optional,
         {0, 65535, {}}},
        {"peers", &sample_settings::peers, "others"},
    };
    return table;
}

sample_settings read(const std::string& text)
{
    const test::temporary_folder folder;
    return read_settings<sample_settings>(folder.write("s.toml", text),
                                          sample_table());
}

std::vector<settings_fault> faults_of(const std::string& text)
{
    try
    {
        (void)read(text);
    }
    catch (const settings_error& error)
    {
        return error.faults();
    }
    return {};
}

TEST(settings, reads_values_and_keeps_defaults)
{
    const auto settings = read("name = \"x\"\npeers = [\"a\", \"b\"]\n");
    EXPECT_EQ("x", settings.name);
    EXPECT_EQ(80, settings.port);
    EXPECT_EQ((std::vector<std::string>{"a", "b"}), settings.peers);
}

TEST(settings, names_every_fault_with_its_line)
{
    const auto faults =
        faults_of("[listen]\nport = 70000\nprot = 1\n[other]\nkey = true\n");
    ASSERT_EQ(4U, faults.size());
    EXPECT_EQ("name", faults[0].key);
    EXPECT_EQ("listen.port", faults[1].key);
    EXPECT_EQ(2, faults[1].line);
    EXPECT_EQ("70000", faults[1].found);
    EXPECT_EQ("a whole number from 0 to 65535", faults[1].allowed);
    EXPECT_EQ("listen.prot", faults[2].key);
    EXPECT_EQ("an unknown key", faults[2].found);
    EXPECT_EQ("other.key", faults[3].key);
}

TEST(settings, refuses_a_file_that_is_no_toml)
{
    const auto faults = faults_of("name = \n");
    ASSERT_EQ(1U, faults.size());
    EXPECT_EQ(1, faults[0].line);
}

} // namespace
} // namespace daleshelf
