/// @file
/// What hosts tell each other of quotas.
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

/// What a message is for.
enum class quota_message_kind
{
    deposit = 1, ///< a host's share of the fleet's time, for its keeper
    seen,        ///< a keeper has read a deposit
    ask,         ///< a keeper is asked for a part of a quota
    grant,       ///< what the keeper gives; may be nothing
    give_back,   ///< a part that was granted and not used
};

/// One message. See docs/design/quotas.md.
struct quota_message
{
    quota_message_kind kind = quota_message_kind::deposit;
    host_id from;
    hall_id hall;
    incarnation started; ///< of the sender
    std::int64_t sequence = 0;
    bool is_stopping = false;
    std::int64_t fleet_size = 0;
    incarnation keeper_started; ///< 0: the sender has not heard the keeper
    double share = 0;           ///< of the fleet
    double credit = 0;          ///< seconds of the whole fleet, for that start
    workspace_id workspace;
    upstream_id upstream; ///< in place of a workspace
    /// The limit of that upstream, as the sender of an ask knows it.
    std::optional<limit_record> limit;
    double amount = 0; ///< in the subject's unit
    std::int64_t answer_to = 0;

    /// @return whose quota is meant
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

/// @return the message, or nothing if the bytes are no such datagram
[[nodiscard]] std::optional<quota_message>
decode_quota_message(std::string_view bytes);

} // namespace daleshelf
