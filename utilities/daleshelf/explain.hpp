/// @file
/// Tells the story of one request, or of a roll-out, from the processes' logs.
#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace daleshelf
{

/// One line of a process's log.
struct logged_event
{
    std::string source; ///< the machine, or the file
    std::string time;   ///< by that machine's clock
    std::string name;
    boost::json::object fields;
};

/// The story of one request or roll-out.
struct request_story
{
    std::vector<logged_event> events; ///< in order
    std::string cause; ///< what sealed its end; empty: nothing is known of it
};

/// Reads a log. Lines that are none are skipped; words before a line's JSON,
/// such as a machine's name, name its source.
/// @param source names lines without such a word
/// @param into the events read are added here
void read_log(std::istream& in, const std::string& source,
              std::vector<logged_event>& into);

/// @param id the request's id
/// @param log events of any number of machines, whose clocks may differ
/// @return the request's events, with what its machine learned of the servers
/// it was sent to, and the decision that sealed its end
[[nodiscard]] request_story
explain_request(const std::string& id, const std::vector<logged_event>& log);

/// @param service whose roll-outs are meant
/// @param log events of any number of machines
/// @return the order as its holder carried it out, step by step, with the
/// reason of the last step; the order itself as the first machine has heard of
/// it
[[nodiscard]] request_story
explain_rollout(const std::string& service,
                const std::vector<logged_event>& log);

} // namespace daleshelf
