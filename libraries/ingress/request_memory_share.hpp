/// @file
/// The part of one connection in the memory of all requests.
#pragma once

#include "request_memory.hpp"

#include <functional>
#include <memory>

namespace daleshelf
{

/// The bytes that the request of one connection holds.
class request_memory_share
{
public:
    /// Frees what an unfinished request holds; the request is rejected later.
    using shed_handler = std::function<void()>;

    /// @param memory outlives the state of the gateway for as long as a
    /// connection does
    /// @param shed called when others need the memory
    request_memory_share(std::shared_ptr<request_memory> memory,
                         shed_handler shed);
    request_memory_share(const request_memory_share&) = delete;
    request_memory_share& operator=(const request_memory_share&) = delete;
    ~request_memory_share();

    /// A request begins to arrive.
    void begin(absl::Time now);

    /// Changes how many bytes the request holds, and sheds others if needed.
    /// @return whether it may hold them; if not, nothing has changed
    [[nodiscard]] bool resize(std::size_t bytes, absl::Time now)
    {
        return m_memory->resize(*this, bytes, now);
    }

    /// The request has arrived completely, and is not shed any more.
    void complete();

    /// The request has ended, and holds nothing any more.
    void release();

    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    friend class request_memory;

    [[nodiscard]] double cost(absl::Time now) const;

    std::shared_ptr<request_memory> m_memory;
    shed_handler m_shed;
    std::size_t m_bytes = 0;
    absl::Time m_progressed_at = absl::InfiniteFuture();
};

} // namespace daleshelf
