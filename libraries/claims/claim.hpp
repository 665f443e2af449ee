/// @file
/// Claims of idempotency keys.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

/// An idempotency key, made unique over workspaces.
using claim_key = strong_id<struct claim_key_tag>;

/// One request's claim of a key.
struct claim
{
    claim_key key;
    request_id request;
    std::string body_digest; ///< tells a repetition from another request
    absl::Time time;         ///< at the claiming host
    bool is_release = false; ///< the request was refused and never ran
};

/// What became of a claim.
struct claim_outcome
{
    enum class state
    {
        won,         ///< this request, and no other, may run
        lost,        ///< `winner` has the key
        mismatch,    ///< `winner` has the key with another body
        unavailable, ///< nobody can tell now; the request must not run
    };

    state what = state::unavailable;
    request_id winner;
};

/// @param claims claims in order
/// @return the record that carries them in the log
[[nodiscard]] std::string to_record(const std::vector<claim>& claims);

/// @param data a record
/// @return its claims; none if it cannot be read, on every host alike
[[nodiscard]] std::vector<claim> claims_from_record(const std::string& data);

} // namespace daleshelf
