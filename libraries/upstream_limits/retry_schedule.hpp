/// @file
/// Times at which callers may retry rejected requests.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace daleshelf
{

/// Spreads the retries of rejected requests at the rate at which this host may
/// expect to send them: callers with the same retry time would retry together,
/// and most would be rejected again. Delays are capped.
class retry_schedule
{
public:
    /// Reserves the next retry time.
    /// @param per_second requests per second that this host may expect to send
    /// @return the delay from now until one more request may be retried
    [[nodiscard]] absl::Duration reserve(double per_second, absl::Time now)
    {
        const auto step = std::min(max_delay, absl::Seconds(1 / per_second));
        m_last_retry_at =
            std::clamp(m_last_retry_at, now, now + max_delay - step) + step;
        return m_last_retry_at - now;
    }

private:
    static constexpr absl::Duration max_delay = absl::Seconds(5);

    absl::Time m_last_retry_at = absl::InfinitePast();
};

} // namespace daleshelf
