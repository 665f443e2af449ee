/// @file
/// Which shapes of requests were answered lately.
#pragma once

#include "poison_record.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>

namespace daleshelf
{

/// Remembers, for a while, which life of a server last answered requests of a
/// shape: what is answered all the time was beside an end by chance.
class answered_shapes
{
public:
    /// @param most shapes that are kept, the newest ones
    explicit answered_shapes(std::size_t most) : m_most(most) {}

    void note(request_shape shape, const whole_answer& given, absl::Time now);

    /// @return the life that answered it last, if that was after a time
    [[nodiscard]] std::optional<whole_answer> find(request_shape shape,
                                                   absl::Time after) const;

private:
    struct answer
    {
        whole_answer given;
        absl::Time at;
    };

    std::size_t m_most;
    absl::flat_hash_map<request_shape, answer> m_answers;
    std::deque<request_shape> m_order; ///< first noted first
};

} // namespace daleshelf
