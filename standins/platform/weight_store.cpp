#include "weight_store.hpp"

#include <absl/strings/numbers.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <http/http_exchange.hpp>
#include <standins/common/program.hpp>

namespace daleshelf::standin
{

namespace
{

constexpr absl::Duration longest_queue = absl::Seconds(60);

} // namespace

weight_store::weight_store(double bytes_per_second, timer_queue& timers,
                           fault_switch& faults)
    : m_bytes_per_second(bytes_per_second)
    , m_timers(timers)
    , m_faults(faults)
    , m_free_at(absl::Now())
{
}

void weight_store::handle(const std::shared_ptr<http_exchange>& exchange)
{
    m_faults.begin(exchange, [this, exchange] { fetch(exchange); });
}

void weight_store::fetch(const std::shared_ptr<http_exchange>& exchange)
{
    double bytes = 0;
    if (!absl::SimpleAtod(exchange->request().parameter("bytes"), &bytes) ||
        bytes < 0)
    {
        exchange->respond(error_response(400, "'bytes' must be a number"));
        return;
    }
    absl::Duration wait;
    {
        absl::MutexLock lock(&m_mutex);
        const auto now = absl::Now();
        const auto start = std::max(now, m_free_at);
        if (start - now > longest_queue)
        {
            exchange->respond(error_response(429, "the queue is full"));
            return;
        }
        m_free_at = start + absl::Seconds(bytes / m_bytes_per_second);
        wait = m_free_at - now;
    }
    m_timers.after(wait,
                   [exchange]
                   {
                       exchange->respond(json_response(
                           200, boost::json::object{{"done", true}}));
                   });
}

} // namespace daleshelf::standin
