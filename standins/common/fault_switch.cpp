#include "fault_switch.hpp"

#include "program.hpp"

#include <base/http_status.hpp>
#include <base/json.hpp>
#include <http/http_exchange.hpp>
#include <utility>

namespace daleshelf::standin
{

namespace
{

void set_flag(const boost::json::object& fields, std::string_view key,
              bool& target)
{
    target = find_boolean(fields, key).value_or(target);
}

void set_count(const boost::json::object& fields, std::string_view key,
               std::int64_t& target)
{
    target = find_integer(fields, key).value_or(target);
}

bool take(std::int64_t& count)
{
    if (count <= 0)
    {
        return false;
    }
    --count;
    return true;
}

} // namespace

fault_switch::fault_switch(timer_queue& timers) : m_timers(timers) {}

fault_state fault_switch::state() const
{
    absl::MutexLock lock(&m_mutex);
    return m_state;
}

void fault_switch::set(const boost::json::object& fields)
{
    std::vector<std::shared_ptr<http_exchange>> released;
    {
        absl::MutexLock lock(&m_mutex);
        set_flag(fields, "down", m_state.is_down);
        set_flag(fields, "hang", m_state.is_hanging);
        set_count(fields, "slow_ms", m_state.slow_ms);
        set_count(fields, "lose_answers", m_state.lose_answers);
        set_count(fields, "lag_ms", m_state.lag_ms);
        set_count(fields, "gap_every", m_state.gap_every);
        set_count(fields, "refuse_starts", m_state.refuse_starts);
        set_flag(fields, "leaving", m_state.is_leaving);
        set_flag(fields, "unchecked", m_state.is_unchecked);
        if (!m_state.is_hanging)
        {
            released.swap(m_hanging);
        }
    }
    for (const auto& exchange : released)
    {
        exchange->respond(
            error_response(http_status::unavailable, "was hanging"));
    }
}

void fault_switch::begin(const std::shared_ptr<http_exchange>& exchange,
                         std::function<void()> call)
{
    fault_state now;
    {
        absl::MutexLock lock(&m_mutex);
        now = m_state;
        if (now.is_hanging)
        {
            m_hanging.push_back(exchange);
            return;
        }
    }
    if (now.is_down)
    {
        exchange->respond(error_response(http_status::unavailable, "down"));
        return;
    }
    if (now.slow_ms > 0)
    {
        m_timers.after(absl::Milliseconds(now.slow_ms), std::move(call));
        return;
    }
    call();
}

void fault_switch::run(const std::shared_ptr<http_exchange>& exchange,
                       const std::function<http_response()>& call)
{
    begin(exchange,
          [this, exchange, call]
          {
              auto response = call();
              const bool is_lost = take_lost_answer();
              exchange->respond(
                  is_lost ? error_response(http_status::gateway_timeout,
                                           "the answer is lost")
                          : std::move(response));
          });
}

bool fault_switch::take_lost_answer()
{
    absl::MutexLock lock(&m_mutex);
    return take(m_state.lose_answers);
}

bool fault_switch::take_refused_start()
{
    absl::MutexLock lock(&m_mutex);
    return take(m_state.refuse_starts);
}

} // namespace daleshelf::standin
