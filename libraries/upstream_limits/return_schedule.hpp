/// @file
/// When rejected requests may be tried again.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace daleshelf
{

/// Spreads the returns of rejected requests at the rate at which this host may
/// expect to send them: callers with one common time would come back together,
/// and most would be rejected again. Times are capped.
class return_schedule
{
public:
    /// @param per_second requests that this host may expect to send
    /// @return the time from now on at which one more may be tried
    [[nodiscard]] absl::Duration reserve(double per_second, absl::Time now)
    {
        const auto step = std::min(longest, absl::Seconds(1 / per_second));
        m_last = std::clamp(m_last, now, now + longest - step) + step;
        return m_last - now;
    }

private:
    static constexpr absl::Duration longest = absl::Seconds(5);

    absl::Time m_last = absl::InfinitePast();
};

} // namespace daleshelf
