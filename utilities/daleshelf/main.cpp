/// @file
/// daleshelf: the operators' command-line tool.
#include "operator_client.hpp"
#include "verbs.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace
{

using namespace daleshelf;
namespace options = boost::program_options;

/// What the command line says.
struct command_line
{
    std::string url = "http://127.0.0.1:8081";
    std::string token;
    std::string verb;
    std::string output;
    std::string file;
    std::string change;
    std::int64_t version = -1;
    std::int64_t from = 0;
    std::int64_t count = 0;
    std::vector<std::string> arguments;
};

options::options_description make_options(command_line& line)
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("help,h", "show this help, or that of a verb");
    add("url", options::value(&line.url)->default_value(line.url),
        "the daemon's operator address; also DALESHELF_URL");
    add("token", options::value(&line.token),
        "the operators' bearer token; also DALESHELF_TOKEN");
    add("output,o", options::value(&line.output), "json, for tools");
    add("file,f", options::value(&line.file),
        "apply: file with the resources; -: standard input");
    add("change-id", options::value(&line.change),
        "apply, delete: id of the change; a second use does not repeat it");
    add("expected-version", options::value(&line.version),
        "delete: only if the resource is at this version");
    add("from", options::value(&line.from), "watch: first offset");
    add("count", options::value(&line.count),
        "watch: end after this many events");
    return description;
}

void print_help(const options::options_description& description)
{
    std::cout << "usage: daleshelf VERB [ARGUMENT...] [OPTION...]\n\nVerbs\n";
    for (const auto& verb : all_verbs())
    {
        std::cout << "  " << verb.name << " " << verb.arguments << "\n      "
                  << verb.help << "\n";
    }
    std::cout << "\n" << description;
}

std::string environment(const char* name, const std::string& fallback)
{
    const char* value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? fallback : value;
}

exit_code run(const verb& verb, const command_line& line)
{
    const auto count = line.arguments.size();
    const bool is_form_known = line.output.empty() || line.output == "json";
    if (count < verb.least_arguments || count > verb.most_arguments ||
        !is_form_known)
    {
        std::cerr << "usage: daleshelf " << verb.name << " " << verb.arguments
                  << " [-o json]\n";
        return exit_code::usage;
    }
    operator_client client(line.url, line.token);
    verb_call call{client};
    call.form = line.output == "json" ? output_form::json : output_form::people;
    call.arguments = line.arguments;
    call.file = line.file;
    call.change = line.change;
    call.version = line.version;
    call.from = line.from;
    call.count = line.count;
    return verb.run(call);
}

exit_code run(int argc, char** argv)
{
    command_line line;
    line.url = environment("DALESHELF_URL", line.url);
    line.token = environment("DALESHELF_TOKEN", "");
    const auto description = make_options(line);
    options::options_description all;
    all.add(description)
        .add_options()("verb", options::value(&line.verb))(
            "arguments", options::value(&line.arguments));
    options::positional_options_description positions;
    positions.add("verb", 1).add("arguments", -1);
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv)
                       .options(all)
                       .positional(positions)
                       .run(),
                   values);
    options::notify(values);
    const auto& verbs = all_verbs();
    const auto found = std::find_if(verbs.begin(), verbs.end(),
                                    [&line](const verb& candidate)
                                    { return candidate.name == line.verb; });
    if (values.count("help") > 0 && found != verbs.end())
    {
        std::cout << "usage: daleshelf " << found->name << " "
                  << found->arguments << "\n"
                  << found->help << "\n\n"
                  << description;
        return exit_code::success;
    }
    if (values.count("help") > 0)
    {
        print_help(description);
        return exit_code::success;
    }
    if (found == verbs.end())
    {
        std::cerr << "daleshelf: unknown verb '" << line.verb
                  << "'; see daleshelf --help\n";
        return exit_code::usage;
    }
    return run(*found, line);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return static_cast<int>(run(argc, argv));
    }
    catch (const options::error& error)
    {
        std::cerr << "daleshelf: " << error.what() << "\n";
        return static_cast<int>(exit_code::usage);
    }
    catch (const std::exception& error)
    {
        std::cerr << "daleshelf: " << error.what() << "\n";
        return static_cast<int>(exit_code::failure);
    }
}
