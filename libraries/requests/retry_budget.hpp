/// @file
/// Keeps retries to a share of first attempts.
#pragma once

#include <absl/synchronization/mutex.h>

namespace daleshelf
{

/// Every first attempt adds a share of a token; every retry takes one whole.
/// A failing upstream can thus never double the load.
class retry_budget
{
public:
    /// @param percent retries against first attempts
    void count_first_attempt(double percent);

    /// @return whether a retry is allowed; it is counted then
    [[nodiscard]] bool try_take();

private:
    // Enough for a quiet host to move a few requests at once.
    static constexpr double most_tokens = 32;

    absl::Mutex m_mutex;
    double m_tokens ABSL_GUARDED_BY(m_mutex) = most_tokens;
};

} // namespace daleshelf
