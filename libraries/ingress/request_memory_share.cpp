#include "request_memory_share.hpp"

#include <algorithm>
#include <utility>

namespace daleshelf
{

namespace
{

// Requests that have just progressed differ by their size.
constexpr absl::Duration min_silence = absl::Milliseconds(1);

} // namespace

request_memory_share::request_memory_share(
    std::shared_ptr<request_memory> memory, shed_handler shed)
    : m_memory(std::move(memory)), m_shed(std::move(shed))
{
}

request_memory_share::~request_memory_share()
{
    release();
}

void request_memory_share::begin(absl::Time now)
{
    m_progressed_at = now;
    m_memory->m_unfinished.insert(this);
}

void request_memory_share::complete()
{
    m_memory->m_unfinished.erase(this);
}

void request_memory_share::release()
{
    m_memory->m_held -= m_bytes;
    m_bytes = 0;
    m_memory->m_unfinished.erase(this);
}

double request_memory_share::cost(absl::Time now) const
{
    const auto silence = std::max(min_silence, now - m_progressed_at);
    return static_cast<double>(m_bytes) * absl::ToDoubleSeconds(silence);
}

} // namespace daleshelf
