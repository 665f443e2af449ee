#include "fetch_delay.hpp"

namespace daleshelf
{

namespace
{

std::int64_t position_in(const topic_positions& positions, shared_topic topic)
{
    return topic == shared_topic::configuration
               ? positions.configuration_version
               : positions.servers_offset.value();
}

} // namespace

bool fetch_delay::has_elapsed(const topic_positions& own,
                              const std::optional<record_source>& source,
                              absl::Time now)
{
    // 1. Records that have arrived since are no longer missing.
    std::erase_if(m_missing,
                  [&](const auto& entry)
                  {
                      const auto& [topic, missing] = entry;
                      return position_in(own, topic) >= missing.position;
                  });
    if (!source)
    {
        return false;
    }
    // 2. The first record known to be missing starts the delay.
    const missing_record candidate{
        position_in(source->positions, source->topic), now};
    const auto missing = m_missing.try_emplace(source->topic, candidate).first;
    if (now - missing->second.since < m_delay)
    {
        return false;
    }
    m_missing.erase(missing);
    return true;
}

} // namespace daleshelf
