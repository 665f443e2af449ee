#include "request_table.hpp"

#include <absl/time/clock.h>

#include <base/json.hpp>
#include <routing/router.hpp>
#include <utility>

namespace daleshelf
{

namespace
{

/// @return what the body says; what engines take if it says nothing
std::int64_t read_max_tokens(const request_description& description)
{
    constexpr std::int64_t engine_default = 16;
    const auto body = parse_object(description.body);
    return find_integer(body, "max_tokens").value_or(engine_default);
}

} // namespace

request_table::request_ptr request_table::find(const request_id& id) const
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second;
}

request_table::request_ptr
request_table::find_or_add(const request_description& description,
                           copy_role role, std::int64_t max_attempts)
{
    absl::MutexLock lock(&m_mutex);
    auto& entry = m_requests[description.id];
    if (!entry)
    {
        const auto first_role =
            role == copy_role::owner ? copy_role::replica : role;
        entry = std::make_shared<live_request>(description, max_attempts,
                                               first_role);
        entry->prompt_tokens = estimate_tokens(description.body);
        entry->max_tokens = read_max_tokens(description);
    }
    return entry;
}

std::vector<request_table::request_ptr> request_table::all() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<request_ptr> requests;
    requests.reserve(m_requests.size());
    for (const auto& [id, request] : m_requests)
    {
        requests.push_back(request);
    }
    return requests;
}

void request_table::count_owned(int change)
{
    absl::MutexLock lock(&m_mutex);
    m_owned += static_cast<std::size_t>(change);
}

std::size_t request_table::owned() const
{
    absl::MutexLock lock(&m_mutex);
    return m_owned;
}

void request_table::keep_ended(const request_ptr& request)
{
    absl::MutexLock lock(&m_mutex);
    m_ended.push_back(request);
    m_ended_bytes += request->memory;
    forget_old();
}

void request_table::forget_old()
{
    while (!m_ended.empty())
    {
        const auto& oldest = m_ended.front();
        const bool is_old = absl::Now() - oldest->ended_at > m_limits.time;
        if (!is_old && m_ended_bytes <= m_limits.bytes)
        {
            return;
        }
        m_ended_bytes -= oldest->memory;
        m_requests.erase(oldest->id);
        m_ended.pop_front();
    }
}

} // namespace daleshelf
