#include <absl/strings/str_replace.h>
#include <gtest/gtest.h>

#include <base/json.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <regex>
#include <tests/support/child_process.hpp>
#include <tests/support/fleet.hpp>

namespace daleshelf
{
namespace
{

using test::fleet;

std::string golden_path(const std::string& name)
{
    return std::string(DALESHELF_SOURCE) + "/tests/golden/" + name;
}

/// Compares a session with its golden file. With DALESHELF_UPDATE_GOLDEN set
/// the file is written anew, to be read before it is committed.
void expect_golden(const std::string& name, const std::string& session)
{
    const bool is_update =
        std::getenv("DALESHELF_UPDATE_GOLDEN") != nullptr; // NOLINT
    if (is_update)
    {
        std::ofstream(golden_path(name)) << session;
        return;
    }
    std::ifstream input(golden_path(name));
    const std::string expected{std::istreambuf_iterator<char>(input), {}};
    EXPECT_EQ(expected, session);
}

/// Replaces what differs from run to run.
std::string normalized(std::string text, const fleet& processes)
{
    text = std::regex_replace(text, std::regex("req-entry-a-[0-9a-f]{8}-"),
                              "req-entry-a-START-");
    text = absl::StrReplaceAll(text, {{processes.address(), "ADDRESS"}});
    text =
        std::regex_replace(text, std::regex("ADDRESS:[0-9]+"), "ADDRESS:PORT");
    text =
        std::regex_replace(text, std::regex("\"configuration_age_ms\":[0-9]+"),
                           "\"configuration_age_ms\":AGE");
    // Whether it holds the lease yet is a matter of time.
    text = std::regex_replace(text, std::regex("planner +(true|false)"),
                              "planner               HELD");
    return std::regex_replace(text, std::regex("configuration_age_ms +[0-9]+"),
                              "configuration_age_ms  AGE");
}

class golden_session : public testing::Test
{
protected:
    golden_session()
    {
        m_fleet.start_platform();
        const auto engine = m_fleet.start_engine("engine", {"--model", "m"});
        m_service_url = m_fleet.start_service("index");
        m_fleet.start_host({"entry-a", "a"});
        m_resources = {
            test::make_workspace("studio", "key"),
            test::make_resource("deployment", "captions", {{"model", "m"}}),
            test::make_resource("service", "index", {}),
            test::make_engine("engine", "a", engine, "m"),
            test::make_resource("upstream", "index",
                                {{"type", "service"},
                                 {"url", m_service_url},
                                 {"hall", "a"},
                                 {"service", "index"}})};
    }

    /// Sends a caller's request and notes it with its answer.
    void call(const std::string& method, const std::string& path,
              const std::string& body, const std::string& key = "key")
    {
        const auto response =
            m_fleet.send(method, m_fleet.host("entry-a").callers_url + path,
                         body, {{"Authorization", "Bearer " + key}});
        m_session += "> " + method + " " + path +
                     (body.empty() ? "" : " " + body) + "\n< " +
                     std::to_string(response.status) + " " +
                     response.content_type + "\n" + response.body + "\n\n";
    }

    /// Runs the operators' tool and notes what it prints.
    void run(std::vector<std::string> arguments, const std::string& input = "")
    {
        m_session += "$ daleshelf";
        for (const auto& argument : arguments)
        {
            m_session += " " + argument;
        }
        arguments.insert(arguments.end(),
                         {"--url", m_fleet.host("entry-a").operators_url,
                          "--token", std::string(fleet::operator_token)});
        const auto result = test::run_program("daleshelf", arguments, input);
        m_session += "\n" + result.output + result.errors + "exit code " +
                     std::to_string(result.exit_code) + "\n\n";
    }

    fleet m_fleet;
    std::string m_service_url;
    boost::json::array m_resources;
    std::string m_session;
};

TEST_F(golden_session, of_a_caller)
{
    m_fleet.apply("entry-a", m_resources);
    call("GET", "/healthz", "");
    call("GET", "/readyz", "");
    call("GET", "/v1/models", "");
    call("POST", "/v1/completions",
         R"({"model":"captions","prompt":"a title","max_tokens":3})");
    call("POST", "/v1/completions",
         R"({"model":"captions","prompt":"a title","max_tokens":2,)"
         R"("stream":true})");
    call("POST", "/v1/chat/completions",
         R"({"model":"captions","messages":[{"role":"user",)"
         R"("content":"a title"}],"max_tokens":3})");
    call("GET", "/services/index/packages/one", "");
    call("POST", "/services/index/publish", R"({"package":"one"})");
    call("POST", "/v1/completions", R"({"model":"unknown","prompt":"p"})");
    call("POST", "/v1/completions", R"({"prompt":"p"})");
    call("POST", "/v1/completions", "no JSON");
    call("GET", "/v1/models", "", "wrong-key");
    call("GET", "/v1/requests/req-none-0-1", "");
    expect_golden("caller.txt", normalized(m_session, m_fleet));
}

TEST_F(golden_session, of_an_operator)
{
    const auto file =
        boost::json::serialize(boost::json::object{{"resources", m_resources}});
    run({"apply", "-f", "-", "--change-id", "first"}, file);
    run({"apply", "-f", "-", "--change-id", "first"}, file);
    run({"get", "upstream"});
    run({"get", "service", "-o", "json"});
    run({"describe", "deployment", "captions"});
    run({"apply", "-f", "-", "--change-id", "stale"},
        R"({"resources":[{"kind":"model","name":"n","expected_version":3,)"
        R"("body":{"weights":"w"}}]})");
    run({"apply", "-f", "-", "--change-id", "wrong"},
        R"({"resources":[{"kind":"workspace","name":"x","body":)"
        R"({"keys_sha256":["short"],"wieght":2}}]})");
    run({"apply", "-f", "-"}, "no JSON");
    run({"change", "get", "first"});
    run({"change", "wait", "first"});
    run({"change", "get", "unknown"});
    run({"watch", "--from", "0", "--count", "2"});
    run({"delete", "service", "index", "--change-id", "gone"});
    run({"get", "service", "index"});
    run({"hosts"});
    run({"status"});
    run({"frobnicate"});
    run({"drain"});
    EXPECT_EQ(0, m_fleet.host("entry-a").process->wait());
    run({"status"});
    expect_golden("operator.txt", normalized(m_session, m_fleet));
}

} // namespace
} // namespace daleshelf
