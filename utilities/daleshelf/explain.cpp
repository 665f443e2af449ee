#include "explain.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace daleshelf
{

namespace
{

std::string text_of(const boost::json::object& fields, std::string_view key)
{
    const auto* value = fields.if_contains(key);
    if (value == nullptr)
    {
        return "";
    }
    return value->is_string() ? std::string(value->get_string())
                              : boost::json::serialize(*value);
}

std::string last_word(std::string_view text)
{
    const auto end = text.find_last_not_of(" \t");
    if (end == std::string_view::npos)
    {
        return "";
    }
    text = text.substr(0, end + 1);
    return std::string(text.substr(text.find_last_of(" \t") + 1));
}

/// Sentences by the reason that a line gives.
const std::map<std::string, std::string>& reasons()
{
    static const std::map<std::string, std::string> sentences{
        {"no_configuration",
         "refused: this machine did not know any configuration yet"},
        {"no_route", "no route: no configuration in force has this path"},
        {"unknown_key", "unknown key: no tenant in force holds it"},
        {"unknown_service", "refused: the route's service is not declared"},
        {"no_request_id", "rejected: it did not carry exactly one id"},
        {"quota", "refused: its tenant was beyond its quota"},
        {"over_share",
         "rejected: slots were short and its workspace asked for more than its "
         "share; event 411 gives both"},
        {"too_late", "refused: it was expected to begin after its deadline"},
        {"stopping", "refused: this machine was about to stop"},
        {"servers_full",
         "refused: no server would take it; those asked stated so, or none "
         "may get new work"},
        {"ends_servers",
         "refused: requests like it have ended the servers that ran them"},
        {"may_end_servers",
         "refused: a server has ended under a request like it, and another one "
         "is on its way"},
        {"servers_rest",
         "refused: every server that may get new work had turned requests away "
         "and asked for rest"},
        {"servers_limited",
         "refused: no server had room within the limit that it has named"},
        {"no_server_reached", "refused: no server could be reached"},
        {"no_upstream_path",
         "refused: this machine could connect to no server of the service, nor "
         "could another one for it"},
        {"may_have_run",
         "failed: a server broke off after it may have run, and it may not "
         "run twice"},
        {"deadline", "failed: no answer came before its time was over"},
        {"broken_off",
         "broken off: its server ended the stream, and it could not go on "
         "elsewhere"},
        {"broken_off_late",
         "broken off: its time was over before its answer was whole"},
        {"server_error", "failed: every server that may be tried failed it"},
        {"client_left", "its client left before the answer was whole"},
        {"answered", "answered"},
    };
    return sentences;
}

// A server that starts again keeps its id: its birth tells which start it was.
std::string name_of_life(const logged_event& event)
{
    const auto server = "server " + text_of(event.fields, "server");
    const auto born = text_of(event.fields, "born");
    const bool is_told = !born.empty() && born != "0";
    return is_told ? server + " born " + born : server;
}

std::string cause_of(const std::vector<logged_event>& events)
{
    std::string cause;
    std::string last_attempt;
    std::string last_end;
    for (const auto& event : events)
    {
        if (event.name == "upstream_failed")
        {
            last_end = text_of(event.fields, "end");
            last_attempt = name_of_life(event) + ": " + last_end;
            continue;
        }
        auto reason = text_of(event.fields, "reason");
        if (reason.empty())
        {
            reason = text_of(event.fields, "outcome");
        }
        if (reason == "broken_off" && last_end == "late")
        {
            reason = "broken_off_late";
        }
        const auto sentence = reasons().find(reason);
        if (sentence != reasons().end())
        {
            cause = sentence->second;
        }
    }
    if (!cause.empty() && !last_attempt.empty())
    {
        cause += " (" + last_attempt + ")";
    }
    return cause;
}

// A line that tells of several servers, as `ID=STATE@HALL` with blanks between,
// becomes one event for each of them.
void add_each_server(const logged_event& line, std::vector<logged_event>& into)
{
    std::istringstream changes(text_of(line.fields, "servers"));
    std::string change;
    while (changes >> change)
    {
        const auto equals = change.find('=');
        if (equals == std::string::npos)
        {
            continue;
        }
        auto event = line;
        event.fields.erase("servers");
        event.fields.erase("count");
        event.fields["server"] = change.substr(0, equals);
        event.fields["state"] = change.substr(equals + 1);
        into.push_back(std::move(event));
    }
}

bool is_before(const logged_event& left, const logged_event& right)
{
    return left.time < right.time;
}

} // namespace

void read_log(std::istream& in, const std::string& source,
              std::vector<logged_event>& into)
{
    std::string line;
    while (std::getline(in, line))
    {
        const auto begin = line.find('{');
        if (begin == std::string::npos)
        {
            continue;
        }
        boost::system::error_code error;
        auto value = boost::json::parse(line.substr(begin), error);
        if (error || !value.is_object())
        {
            continue;
        }
        logged_event event;
        event.fields = std::move(value.get_object());
        event.name = text_of(event.fields, "name");
        event.time = text_of(event.fields, "time");
        const auto word = last_word(std::string_view(line).substr(0, begin));
        event.source = word.empty() ? source : word;
        if (event.fields.contains("servers"))
        {
            add_each_server(event, into);
            continue;
        }
        into.push_back(std::move(event));
    }
}

request_story explain_request(const std::string& id,
                              const std::vector<logged_event>& log)
{
    // 1. What was logged of the request, and where it was sent.
    request_story story;
    std::set<std::pair<std::string, std::string>> servers;
    std::string source;
    std::string end;
    for (const auto& event : log)
    {
        if (text_of(event.fields, "id") != id)
        {
            continue;
        }
        story.events.push_back(event);
        source = event.source;
        end = std::max(end, event.time);
        std::istringstream concerned(text_of(event.fields, "server") + " " +
                                     text_of(event.fields, "passed_over"));
        std::string server;
        while (concerned >> server)
        {
            servers.emplace(event.source, server);
        }
    }
    std::stable_sort(story.events.begin(), story.events.end(), is_before);
    story.cause = cause_of(story.events);
    // 2. What its machine learned before of those servers. Clocks of other
    // machines are not compared.
    std::map<std::string, logged_event> newest;
    for (const auto& event : log)
    {
        const auto server = text_of(event.fields, "server");
        const bool is_of_story = servers.contains({event.source, server}) &&
                                 text_of(event.fields, "id").empty();
        if (is_of_story && event.time <= end)
        {
            auto& known = newest[server];
            known = known.time <= event.time ? event : known;
        }
    }
    for (auto& [server, event] : newest)
    {
        story.events.push_back(std::move(event));
    }
    std::stable_sort(story.events.begin(), story.events.end(), is_before);
    return story;
}

request_story explain_rollout(const std::string& service,
                              const std::vector<logged_event>& log)
{
    request_story story;
    std::set<std::string> ordered;
    auto sorted = log;
    std::stable_sort(sorted.begin(), sorted.end(), is_before);
    for (const auto& event : sorted)
    {
        if (text_of(event.fields, "service") != service)
        {
            continue;
        }
        // Each machine hears of the order; one of them is enough.
        const bool is_order =
            event.name == "rollout_ordered" &&
            ordered.insert(text_of(event.fields, "offset")).second;
        const bool is_step =
            event.name == "rollout_step" || event.name == "rollout_written";
        if (!is_order && !is_step)
        {
            continue;
        }
        story.events.push_back(event);
        if (event.name == "rollout_written")
        {
            story.cause = text_of(event.fields, "state") + " (" +
                          text_of(event.fields, "outcome") + ")" +
                          (story.cause.empty() ? "" : ": " + story.cause);
        }
        else if (is_step)
        {
            story.cause = text_of(event.fields, "reason");
        }
    }
    return story;
}

} // namespace daleshelf
