#include "retry_budget.hpp"

#include <algorithm>

namespace daleshelf
{

void retry_budget::count_first_attempt(double percent)
{
    constexpr double hundred_percent = 100;
    absl::MutexLock lock(&m_mutex);
    m_tokens = std::min(bucket_capacity, m_tokens + percent / hundred_percent);
}

bool retry_budget::try_take()
{
    absl::MutexLock lock(&m_mutex);
    if (m_tokens < 1)
    {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace daleshelf
