/// @file
/// The messages that hosts exchange about quotas.
#pragma once

#include "quota_subject.hpp"

#include <base/identifiers.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <upstream_limits/limit_record.hpp>

namespace daleshelf
{

/// The kinds of messages, by their number on the wire.
enum class quota_message_kind
{
    deposit = 1,   ///< time credit of a host, for its keeper
    deposit_ack,   ///< a keeper has received a deposit
    grant_request, ///< requests tokens of a subject from a keeper
    grant,         ///< the tokens that a keeper grants; may be none
    release,       ///< returns granted tokens that were not used
};

/// A message between two hosts. See docs/design/quotas.md.
struct quota_message
{
    quota_message_kind kind = quota_message_kind::deposit;
    host_id from;
    hall_id hall;
    incarnation sender_incarnation;
    std::int64_t sequence = 0;
    bool is_stopping = false;
    std::int64_t fleet_size = 0;
    /// Incarnation of the receiving keeper; 0 if no message of it has arrived.
    incarnation keeper_incarnation;
    double share = 0; ///< of the sender, as a fraction of the fleet
    /// Total for that incarnation, in seconds of the whole fleet.
    double credit = 0;
    workspace_id workspace;
    upstream_id upstream; ///< set instead of a workspace
    /// The limit of that upstream as the sender of a grant request knows it.
    std::optional<limit_record> limit;
    double amount = 0; ///< in the subject's unit
    std::int64_t in_reply_to = 0;

    /// @return the subject whose tokens the message is about
    [[nodiscard]] quota_subject subject() const
    {
        return upstream.empty() ? quota_subject(workspace)
                                : quota_subject(upstream);
    }

    void set_subject(const quota_subject& subject)
    {
        workspace = subject.workspace;
        upstream = subject.upstream;
    }
};

/// @return the bytes of a datagram
[[nodiscard]] std::string encode(const quota_message& message);

/// @return the message, or nothing if the bytes are not a valid quota message
[[nodiscard]] std::optional<quota_message>
decode_quota_message(std::string_view bytes);

} // namespace daleshelf
