// Checks of rules that the source files follow.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

namespace daleshelf
{
namespace
{

namespace files = std::filesystem;

const files::path source_root(DALESHELF_SOURCE);

std::string read_file(const files::path& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

template <typename Check>
void for_each_source(const std::vector<std::string>& folders, Check check)
{
    int seen = 0;
    for (const auto& folder : folders)
    {
        for (const auto& entry :
             files::recursive_directory_iterator(source_root / folder))
        {
            const auto extension = entry.path().extension();
            if (extension == ".cpp" || extension == ".hpp")
            {
                ++seen;
                check(entry.path(), read_file(entry.path()));
            }
        }
    }
    EXPECT_GT(seen, 20);
}

TEST(source_rules, nothing_outside_its_folder_knows_the_platforms_names)
{
    const std::vector<std::string> names{
        // X-Attempt-Id is absent: daleshelf's own interface uses it too.
        "X-Server-Seal",     "X-Expect-Instance",  "X-Not-Executed",
        "X-Credential",      "X-Prompt-Prefix",    "X-Token-Count",
        "X-Weight-Versions", "X-Request-Priority", "X-Duty-Holder",
        "X-Fencing-Token",   "X-Deadline-Ms",      "Kv-From",
        "log-append",        "log-read",           "log-newest",
        "keyed.op",          "keyed.servers",      "apiKeys",
        "pathPrefix",        "targetLatencyMs",    "trafficSplit",
        "windowId",          "desiredCount",       "DALESHELF_BOOT",
        "zonePrices",        "coldRemainingMs",    "streamResume",
        "privateKey",        "afterRevision",      "Server-Leaving",
        "Server-Limit",      "Server-Brittle"};
    for_each_source({"libraries", "services", "utilities", "standins"},
                    [&](const files::path& path, const std::string& text)
                    {
                        for (const auto& name : names)
                        {
                            EXPECT_EQ(text.find(name), std::string::npos)
                                << name << " in " << path;
                        }
                    });
}

// GCC 12 destroys an awaitable that was never constructed if co_await stands in
// a condition or in a branch of an expression, which crashes the process.
TEST(source_rules, each_co_await_is_a_statement_of_its_own)
{
    const std::regex in_condition(R"((if|while|switch) \([^{;]*co_await)");
    const std::regex in_branch(R"([?:]\s*!?\(?co_await)");
    const std::regex in_operation(R"((&&|\|\|)\s*!?\(?co_await)");
    const std::regex braced_argument(R"(co_await [^;]*[(,]\s*\{[^;]*\)\s*;)");
    for_each_source(
        {"services"},
        [&](const files::path& path, const std::string& text)
        {
            for (const auto* rule :
                 {&in_condition, &in_branch, &in_operation, &braced_argument})
            {
                std::smatch found;
                EXPECT_FALSE(std::regex_search(text, found, *rule))
                    << path << ": " << found.str();
            }
        });
}

// absl::Now() extrapolates from the cycle counter, so times that are sent to
// other hosts or counted in wall-clock windows come from the system clock.
// With a clock that stops during a suspension, a host takes stale data for new.
TEST(source_rules, the_gateway_has_one_clock_that_counts_suspensions)
{
    for_each_source(
        {"services/gateway"},
        [](const files::path& path, const std::string& text)
        {
            EXPECT_EQ(text.find("steady_"), std::string::npos) << path;
            EXPECT_EQ(text.find("high_resolution"), std::string::npos) << path;
        });
}

TEST(source_rules, the_gateway_asks_the_system_for_the_time_of_day)
{
    const std::regex by_counter("absl::Now|GetCurrentTimeNanos");
    const auto check = [&](const files::path& path, const std::string& text)
    {
        std::smatch found;
        EXPECT_FALSE(std::regex_search(text, found, by_counter))
            << path << ": " << found.str();
    };
    for_each_source({"services/gateway", "libraries/peers", "libraries/duties",
                     "libraries/telemetry"},
                    check);
}

} // namespace
} // namespace daleshelf
