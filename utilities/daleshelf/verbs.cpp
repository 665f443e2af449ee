#include "verbs.hpp"

#include "explain.hpp"
#include "operator_client.hpp"
#include "table.hpp"

#include <base/digest.hpp>
#include <base/http_status.hpp>
#include <base/json.hpp>
#include <fstream>
#include <http/event_stream.hpp>
#include <http/http_message.hpp>
#include <iostream>
#include <iterator>
#include <optional>
#include <resources/resource.hpp>
#include <stdexcept>
#include <string_view>

namespace daleshelf
{

namespace
{

constexpr std::size_t change_id_bytes = 8;

void print_json(const boost::json::value& value)
{
    std::cout << boost::json::serialize(value) << "\n";
}

exit_code print_error(const operator_answer& answer)
{
    const auto message = find_string(answer.body, "error");
    std::cerr << "daleshelf: "
              << message.value_or("status " + std::to_string(answer.status))
              << "\n";
    return answer.status == http_status::not_found ? exit_code::not_found
                                                   : exit_code::failure;
}

/// Prints an error, or the JSON that was asked for.
/// @return the exit code, if there is nothing left to print
std::optional<exit_code> print_plain(const verb_call& call,
                                     const operator_answer& answer)
{
    if (answer.status != http_status::ok)
    {
        return print_error(answer);
    }
    if (call.form == output_form::json)
    {
        print_json(answer.body);
        return exit_code::success;
    }
    return std::nullopt;
}

std::string text_of(const boost::json::object& fields, std::string_view key)
{
    const auto* value = fields.if_contains({key.data(), key.size()});
    if (value == nullptr)
    {
        return "";
    }
    return value->is_string() ? std::string(value->get_string())
                              : boost::json::serialize(*value);
}

std::string resource_path(const std::string& kind, const std::string& name)
{
    return "/apis/v1/resources/" + url_encode(kind) + "/" + url_encode(name);
}

/// Prints what became of a change.
exit_code report_change(const verb_call& call, const operator_answer& answer)
{
    if (call.form == output_form::json)
    {
        print_json(answer.body);
    }
    else
    {
        std::cout << "change " << text_of(answer.body, "id") << " "
                  << text_of(answer.body, "state");
        const auto offset = text_of(answer.body, "offset");
        std::cout << (offset.empty() ? "" : " at offset " + offset) << "\n";
        if (const auto* faults = find_array(answer.body, "faults"))
        {
            for (const auto& entry : *faults)
            {
                const auto& fault = entry.as_object();
                std::cout << "  " << text_of(fault, "kind") << "/"
                          << text_of(fault, "name") << " "
                          << text_of(fault, "field") << ": "
                          << text_of(fault, "message") << "\n";
            }
        }
        if (const auto* present = find_array(answer.body, "present"))
        {
            for (const auto& entry : *present)
            {
                const auto& item = entry.as_object();
                std::cout << "  " << text_of(item, "kind") << "/"
                          << text_of(item, "name") << " is at version "
                          << text_of(item, "version") << "\n";
            }
        }
    }
    const auto state = text_of(answer.body, "state");
    if (state == "accepted")
    {
        return exit_code::success;
    }
    if (state == "conflict")
    {
        return exit_code::conflict;
    }
    return state == "invalid" ? exit_code::invalid : exit_code::pending;
}

exit_code send_change(const verb_call& call, boost::json::array operations)
{
    const auto id =
        call.change.empty() ? random_hex(change_id_bytes) : call.change;
    const auto answer = call.client.send(
        "POST", "/apis/v1/changes",
        boost::json::serialize(boost::json::object{
            {"id", id}, {"operations", std::move(operations)}}));
    const bool is_outcome = answer.status == http_status::ok ||
                            answer.status == http_status::accepted ||
                            answer.status == http_status::conflict ||
                            answer.status == http_status::unprocessable;
    return is_outcome ? report_change(call, answer) : print_error(answer);
}

std::string read_input(const std::string& file)
{
    if (file == "-")
    {
        return {std::istreambuf_iterator<char>(std::cin), {}};
    }
    std::ifstream input(file);
    if (!input)
    {
        throw std::runtime_error("cannot read " + file);
    }
    return {std::istreambuf_iterator<char>(input), {}};
}

exit_code apply(const verb_call& call)
{
    if (call.file.empty())
    {
        std::cerr << "daleshelf: apply needs -f FILE\n";
        return exit_code::usage;
    }
    const auto fields = parse_object(read_input(call.file));
    const auto* resources = find_array(fields, "resources");
    if (resources == nullptr)
    {
        throw json_error("field 'resources' must be given, as an array");
    }
    return send_change(call, *resources);
}

exit_code get(const verb_call& call)
{
    const auto& kind = call.arguments.at(0);
    if (call.arguments.size() > 1)
    {
        const auto answer =
            call.client.send("GET", resource_path(kind, call.arguments.at(1)));
        if (answer.status != http_status::ok)
        {
            return print_error(answer);
        }
        print_json(answer.body);
        return exit_code::success;
    }
    const auto answer =
        call.client.send("GET", "/apis/v1/resources/" + url_encode(kind));
    if (const auto code = print_plain(call, answer))
    {
        return *code;
    }
    table shown({"NAME", "VERSION", "OFFSET"});
    for (const auto& entry : *find_array(answer.body, "items"))
    {
        const auto& item = entry.as_object();
        shown.add({text_of(item, "name"), text_of(item, "version"),
                   text_of(item, "offset")});
    }
    std::cout << shown.to_string();
    return exit_code::success;
}

exit_code describe(const verb_call& call)
{
    const auto answer = call.client.send(
        "GET", resource_path(call.arguments.at(0), call.arguments.at(1)));
    if (const auto code = print_plain(call, answer))
    {
        return *code;
    }
    table shown({"FIELD", "VALUE"});
    for (const auto* key : {"kind", "name", "version", "offset"})
    {
        shown.add({key, text_of(answer.body, key)});
    }
    const auto* body = find_object(answer.body, "body");
    for (const auto& field : *body)
    {
        shown.add({"body." + std::string(field.key()),
                   text_of(*body, std::string(field.key()))});
    }
    std::cout << shown.to_string();
    return exit_code::success;
}

exit_code remove(const verb_call& call)
{
    boost::json::object operation{{"action", "delete"},
                                  {"kind", call.arguments.at(0)},
                                  {"name", call.arguments.at(1)}};
    if (call.version >= 0)
    {
        operation["expected_version"] = call.version;
    }
    return send_change(call, {std::move(operation)});
}

exit_code watch(const verb_call& call)
{
    event_stream_parser parser;
    std::int64_t shown = 0;
    std::string rest;
    const auto status =
        call.client.follow("/apis/v1/watch?from=" + std::to_string(call.from) +
                               "&count=" + std::to_string(call.count),
                           [&](std::string_view bytes)
                           {
                               rest += bytes;
                               for (const auto& event : parser.feed(bytes))
                               {
                                   ++shown;
                                   if (call.form == output_form::json)
                                   {
                                       std::cout << event.data << std::endl;
                                       continue;
                                   }
                                   const auto fields = parse_object(event.data);
                                   std::cout << event.id << " " << event.event
                                             << " " << text_of(fields, "kind")
                                             << "/" << text_of(fields, "name")
                                             << std::endl;
                               }
                           });
    if (status == http_status::ok)
    {
        return exit_code::success;
    }
    std::cerr << "daleshelf: " << rest << "\n";
    return status == http_status::gone ? exit_code::not_found
                                       : exit_code::failure;
}

exit_code status(const verb_call& call)
{
    const auto answer = call.client.send("GET", "/apis/v1/status");
    if (const auto code = print_plain(call, answer))
    {
        return *code;
    }
    table shown({"FIELD", "VALUE"});
    for (const auto& field : answer.body)
    {
        const std::string key(field.key());
        shown.add({key, text_of(answer.body, key)});
    }
    std::cout << shown.to_string();
    return exit_code::success;
}

exit_code drain(const verb_call& call)
{
    const auto answer = call.client.send("POST", "/apis/v1/drain");
    if (answer.status != http_status::accepted)
    {
        return print_error(answer);
    }
    if (call.form == output_form::json)
    {
        print_json(answer.body);
        return exit_code::success;
    }
    std::cout << "draining\n";
    return exit_code::success;
}

exit_code hosts(const verb_call& call)
{
    const auto answer = call.client.send("GET", "/apis/v1/hosts");
    if (const auto code = print_plain(call, answer))
    {
        return *code;
    }
    table shown({"HOST", "HALL", "STATE", "DRAINING", "NEXT"});
    for (const auto& entry : *find_array(answer.body, "items"))
    {
        const auto& item = entry.as_object();
        shown.add({text_of(item, "id"), text_of(item, "hall"),
                   text_of(item, "state"), text_of(item, "draining"),
                   text_of(item, "next")});
    }
    std::cout << shown.to_string();
    return exit_code::success;
}

exit_code wait_for_change(const verb_call& call, const std::string& path)
{
    const auto answer = call.client.send("GET", path + "/wait");
    if (answer.status != http_status::ok)
    {
        return print_error(answer);
    }
    const auto code = report_change(call, answer);
    const auto* missing = find_array(answer.body, "missing");
    if (missing == nullptr || missing->empty())
    {
        return code;
    }
    std::cerr << "daleshelf: not yet in force on "
              << text_of(answer.body, "missing") << "\n";
    return exit_code::pending;
}

exit_code change_verb(const verb_call& call)
{
    const auto& what = call.arguments.at(0);
    const auto path = "/apis/v1/changes/" + url_encode(call.arguments.at(1));
    if (what == "wait")
    {
        return wait_for_change(call, path);
    }
    if (what != "get")
    {
        std::cerr << "daleshelf: change takes get ID or wait ID\n";
        return exit_code::usage;
    }
    const auto answer = call.client.send("GET", path);
    return answer.status == http_status::ok ? report_change(call, answer)
                                            : print_error(answer);
}

boost::json::object to_json(const logged_event& event)
{
    auto object = event.fields;
    object["source"] = event.source;
    return object;
}

void print_story(const request_story& story)
{
    table shown({"TIME", "SOURCE", "EVENT", "FIELDS"});
    for (const auto& event : story.events)
    {
        std::string fields;
        for (const auto& [key, value] : event.fields)
        {
            const bool is_shown = key != "time" && key != "name" &&
                                  key != "program" && key != "severity" &&
                                  key != "event" && key != "id";
            if (is_shown)
            {
                fields +=
                    std::string(key) + "=" + text_of(event.fields, key) + " ";
            }
        }
        shown.add({event.time, event.source, event.name, fields});
    }
    std::cout << shown.to_string() << "\ncause: " << story.cause << "\n";
}

// The logs that the arguments after the first name; without any, what comes in.
// @return nothing if one cannot be read
std::optional<std::vector<logged_event>> read_logs(const verb_call& call)
{
    std::vector<logged_event> log;
    for (std::size_t index = 1; index < call.arguments.size(); ++index)
    {
        const auto& path = call.arguments.at(index);
        std::ifstream file(path);
        if (!file)
        {
            std::cerr << "daleshelf: " << path << " cannot be read\n";
            return std::nullopt;
        }
        read_log(file, path, log);
    }
    if (call.arguments.size() == 1)
    {
        read_log(std::cin, "-", log);
    }
    return log;
}

// @param key under which the subject of the story is shown
void show_story(const verb_call& call, std::string_view key,
                const request_story& story)
{
    if (call.form == output_form::people)
    {
        print_story(story);
        return;
    }
    boost::json::array events;
    for (const auto& event : story.events)
    {
        events.push_back(to_json(event));
    }
    print_json(boost::json::object{{key, call.arguments.front()},
                                   {"cause", story.cause},
                                   {"events", std::move(events)}});
}

exit_code explain(const verb_call& call)
{
    const auto log = read_logs(call);
    if (!log)
    {
        return exit_code::usage;
    }
    const auto& id = call.arguments.front();
    const auto story = explain_request(id, *log);
    if (story.events.empty())
    {
        std::cerr << "daleshelf: no line names the request " << id
                  << ": it reached none of these processes, or its process was "
                     "killed before it ended (process_started, 101, tells of "
                     "the next one)\n";
        return exit_code::not_found;
    }
    show_story(call, "id", story);
    return exit_code::success;
}

exit_code rollout(const verb_call& call)
{
    const auto log = read_logs(call);
    if (!log)
    {
        return exit_code::usage;
    }
    const auto& service = call.arguments.front();
    const auto story = explain_rollout(service, *log);
    if (story.events.empty())
    {
        std::cerr << "daleshelf: no line tells of a roll-out of " << service
                  << "\n";
        return exit_code::not_found;
    }
    show_story(call, "service", story);
    return exit_code::success;
}

} // namespace

const std::vector<verb>& all_verbs()
{
    static const std::vector<verb> verbs{
        {"apply", "-f FILE", "put the resources of a file, all or none", 0, 0,
         &apply},
        {"get", "KIND [NAME]", "list resources, or show one as JSON", 1, 2,
         &get},
        {"describe", "KIND NAME", "show one resource field by field", 2, 2,
         &describe},
        {"delete", "KIND NAME", "delete a resource", 2, 2, &remove},
        {"watch", "", "print changes as they come into force", 0, 0, &watch},
        {"status", "", "show the state of the daemon", 0, 0, &status},
        {"drain", "", "start a planned stop of the daemon", 0, 0, &drain},
        {"hosts", "", "list the other entry hosts", 0, 0, &hosts},
        {"explain", "ID [FILE...]",
         "tell a request's story and the cause of its end from logs of "
         "gateways; without files, from standard input",
         1, 64, &explain},
        {"rollout", "SERVICE [FILE...]",
         "show a service's roll-outs step by step, and why they ended, from "
         "logs of gateways; without files, from standard input",
         1, 64, &rollout},
        {"change", "get|wait ID",
         "show what became of a change, or wait until it is in force on all "
         "reachable hosts",
         2, 2, &change_verb},
    };
    return verbs;
}

} // namespace daleshelf
