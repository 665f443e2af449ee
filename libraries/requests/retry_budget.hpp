/// @file
/// Limits retries to a ratio of first attempts.
#pragma once

#include <absl/synchronization/mutex.h>

namespace daleshelf
{

/// A token bucket: each first attempt adds a fraction of a token, each retry
/// takes one token. Retries to a failing upstream thus cannot double the load.
class retry_budget
{
public:
    /// Adds the fraction of a token that a first attempt earns.
    /// @param percent allowed retries per 100 first attempts
    void count_first_attempt(double percent);

    /// Takes a token for a retry if one is available.
    /// @return whether the retry is allowed
    [[nodiscard]] bool try_take();

private:
    // Lets a host with little traffic move a few requests at once.
    static constexpr double bucket_capacity = 32;

    absl::Mutex m_mutex;
    double m_tokens ABSL_GUARDED_BY(m_mutex) = bucket_capacity;
};

} // namespace daleshelf
