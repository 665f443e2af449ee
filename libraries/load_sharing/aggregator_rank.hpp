/// @file
/// Order by which hosts of a hall become its aggregators.
#pragma once

#include <xxhash.h>

#include <base/identifiers.hpp>
#include <cstdint>

namespace daleshelf
{

/// @return the rendezvous hash of a host and its hall: the two hosts with the
/// highest are the hall's aggregators
[[nodiscard]] inline std::uint64_t rank_of(const host_id& host,
                                           const hall_id& hall)
{
    const auto seed = XXH3_64bits(hall.value().data(), hall.value().size());
    return XXH3_64bits_withSeed(host.value().data(), host.value().size(), seed);
}

} // namespace daleshelf
