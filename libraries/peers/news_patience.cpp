#include "news_patience.hpp"

namespace daleshelf
{

namespace
{

std::int64_t position_in(const known_records& known, shared_topic topic)
{
    return topic == shared_topic::configuration ? known.configuration_version
                                                : known.servers_offset.value();
}

} // namespace

bool news_patience::is_over(const known_records& own,
                            const std::optional<news_source>& source,
                            absl::Time now)
{
    // 1. What has come meanwhile is no longer missing.
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
    // 2. The first record that is heard of and missing starts the wait.
    const missing_record heard{position_in(source->known, source->topic), now};
    const auto missing = m_missing.try_emplace(source->topic, heard).first;
    if (now - missing->second.since < m_patience)
    {
        return false;
    }
    m_missing.erase(missing);
    return true;
}

} // namespace daleshelf
