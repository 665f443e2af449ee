/// @file
/// One request that takes its cost from keepers.
#pragma once

#include "forward.hpp"
#include "quota_message.hpp"
#include "quota_subject.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace daleshelf
{

/// A message and the host that it is for.
struct addressed_quota_message
{
    host_id to;
    quota_message message;
};

/// One request's way through the keepers.
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

    /// @return how many keepers were asked by datagram, and how many of them
    /// have answered, for logs
    [[nodiscard]] std::pair<int, int> asked_and_answered() const
    {
        return {m_asked, m_answered};
    }

    /// @return what was granted so far
    [[nodiscard]] double collected() const
    {
        return m_collected;
    }

private:
    friend class shared_quota;

    quota_subject m_subject;
    double m_cost;
    std::vector<host_id> m_keepers;
    std::size_t m_next = 0;
    double m_collected = 0;
    std::int64_t m_open_ask = 0; ///< its sequence; 0: none is open
    host_id m_open_keeper;
    double m_open_amount = 0;
    int m_asked = 0;
    int m_answered = 0;
};

/// What a claim does next.
struct claim_step
{
    enum class outcome
    {
        granted, ///< the request is within the quota
        refused, ///< it is not
        asking,  ///< `ask` is to be sent, and its answer awaited
    };
    outcome what = outcome::refused;
    std::optional<addressed_quota_message> ask;
};

} // namespace daleshelf
