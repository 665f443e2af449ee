/// @file
/// A claim of tokens for one request.
#pragma once

#include "forward.hpp"
#include "quota_message.hpp"
#include "quota_subject.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace daleshelf
{

/// A message and the host that it is sent to.
struct addressed_quota_message
{
    host_id to;
    quota_message message;
};

/// Acquires the cost of one request, from one keeper after the other until the
/// cost is covered. `shared_quota` advances it.
class quota_claim
{
public:
    quota_claim(quota_subject subject, double cost,
                std::vector<host_id> keepers)
        : m_subject(std::move(subject))
        , m_cost(cost)
        , m_keepers(std::move(keepers))
    {
    }

    /// @return the number of grant requests sent to other keepers, and the
    /// number of them that were answered, for logs
    [[nodiscard]] std::pair<int, int> exchange_counts() const
    {
        return {m_request_count, m_reply_count};
    }

    /// @return the tokens collected so far, in the subject's unit
    [[nodiscard]] double collected() const
    {
        return m_collected;
    }

private:
    friend class shared_quota;

    quota_subject m_subject;
    double m_cost;
    std::vector<host_id> m_keepers;
    std::size_t m_next_keeper = 0;
    double m_collected = 0;
    /// Sequence of the pending grant request; 0 if none is pending.
    std::int64_t m_pending_sequence = 0;
    host_id m_pending_keeper;
    double m_pending_amount = 0;
    int m_request_count = 0;
    int m_reply_count = 0;
};

/// The next step of a claim.
struct claim_step
{
    enum class status
    {
        granted,  ///< the request is within the quota
        rejected, ///< the request exceeds the quota
        pending,  ///< send `request` and wait for the reply
    };
    status result = status::rejected;
    std::optional<addressed_quota_message> request;
};

} // namespace daleshelf
