/// @file
/// Open-loop load on a fleet and what came of it.
#pragma once

#include "workload.hpp"

#include <absl/time/time.h>

#include <functional>
#include <http/http_client.hpp>
#include <string>
#include <vector>

namespace daleshelf::benchmark
{

/// What one request met.
struct request_sample
{
    std::string workspace;
    bool is_service_call = false;
    bool is_answered = false;
    bool is_refused = false; ///< 429 or 503 with verdict not_run
    int moves = 0;
    double first_token_ms = 0;
    std::vector<double> gaps_ms; ///< between tokens
    double total_ms = 0;
};

/// Sends requests at their times whatever becomes of the earlier ones.
class load_driver
{
public:
    /// @param client sends requests; must outlive this object
    /// @param entry_hosts gives the hosts that a balancer would use now
    load_driver(http_client& client,
                std::function<std::vector<std::string>()> entry_hosts);

    /// Sends all and waits for all final answers.
    [[nodiscard]] std::vector<request_sample>
    run(const std::vector<planned_request>& plan);

private:
    struct flight;

    void start(const planned_request& request,
               const std::shared_ptr<flight>& state);
    void connect(const std::shared_ptr<flight>& state);

    http_client& m_client;
    std::function<std::vector<std::string>()> m_entry_hosts;
    std::size_t m_next_host = 0;
};

} // namespace daleshelf::benchmark
