#include "client_capacity.hpp"

#include "gateway_settings.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace daleshelf
{

namespace
{

constexpr std::size_t bytes_per_mb = 1000000;
// The rest is for the process itself, its connections and responses.
constexpr std::size_t memory_divisor = 4;
// What the kernel keeps in a receive buffer of that size. It counts as memory
// of the process.
constexpr std::size_t max_unread_bytes =
    std::size_t{client_capacity::receive_buffer_bytes} * 3 / 2;
// For files; the platform keeps as many.
constexpr std::size_t reserved_descriptors = 200;

// @return how many descriptors the process may open
std::size_t descriptor_limit(const gateway_settings& settings)
{
    auto limit = static_cast<std::size_t>(settings.descriptors);
    rlimit own{};
    if (getrlimit(RLIMIT_NOFILE, &own) == 0)
    {
        limit = std::min(limit, static_cast<std::size_t>(own.rlim_cur));
    }
    return limit;
}

} // namespace

client_capacity client_capacity_of(const gateway_settings& settings)
{
    const auto memory =
        static_cast<std::size_t>(settings.memory_mb) * bytes_per_mb;
    const auto sockets =
        std::max(descriptor_limit(settings), reserved_descriptors + 1) -
        reserved_descriptors;
    client_capacity capacity;
    capacity.request_bytes = memory / memory_divisor;
    // The others are for upstreams, peers and the store.
    const auto by_descriptors = sockets - sockets / 3;
    const auto by_memory = memory / memory_divisor / max_unread_bytes;
    capacity.connections =
        std::max<std::size_t>(1, std::min(by_descriptors, by_memory));
    return capacity;
}

} // namespace daleshelf
