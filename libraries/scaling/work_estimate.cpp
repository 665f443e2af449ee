#include "work_estimate.hpp"

#include <algorithm>

namespace daleshelf
{

double estimated_work_ms(const request_facts& facts, std::int64_t unread)
{
    constexpr double shared_to_read = 0.3;
    constexpr double read_tokens_per_ms = 32;
    constexpr double ms_per_generated_token = 0.15;
    const auto own = facts.prompt.empty() ? unread : facts.prompt.back().tokens;
    const auto shared = std::max<std::int64_t>(0, unread - own);
    const auto to_read =
        static_cast<double>(own) + static_cast<double>(shared) * shared_to_read;
    return to_read / read_tokens_per_ms +
           static_cast<double>(facts.answer_tokens) * ms_per_generated_token;
}

} // namespace daleshelf
