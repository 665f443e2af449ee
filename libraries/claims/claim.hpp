/// @file
/// Claims of idempotency keys and their encoding as log records.
#pragma once

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <string>
#include <vector>

namespace daleshelf
{

/// An idempotency key that is unique across workspaces.
using claim_key = strong_id<struct claim_key_tag>;

/// The claim of one request to a key, or the release of that claim.
struct claim
{
    claim_key key;
    request_id request;
    std::string body_digest; ///< tells a retry from a different request
    absl::Time time;         ///< by the clock of the claiming host
    bool is_release = false; ///< releases the key: the request never runs
};

/// The outcome of a claim.
struct claim_outcome
{
    enum class state
    {
        won,         ///< only this request may run
        lost,        ///< `winner` holds the key
        mismatch,    ///< `winner` holds the key with a different body
        unavailable, ///< not known in time; the request must not run
    };

    state decision = state::unavailable;
    request_id winner;
};

/// Encodes claims.
/// @param claims claims in order
/// @return the log record that contains them
[[nodiscard]] std::string to_record(const std::vector<claim>& claims);

/// Decodes a record. Every host decodes a record to the same claims.
/// @param data a record
/// @return its claims; none if it is malformed or has another format version
[[nodiscard]] std::vector<claim> claims_from_record(const std::string& data);

} // namespace daleshelf
