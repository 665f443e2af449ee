#include "reader_monitor.hpp"

#include <algorithm>
#include <bit>

namespace daleshelf
{

namespace
{

// A reader reports twice a second for each of two topics.
constexpr absl::Duration max_silence = absl::Milliseconds(1400);
// A suspected reader is chosen again after this time, or when it reports.
constexpr absl::Duration suspicion_time = absl::Seconds(10);
constexpr absl::Duration min_fallback_delay = absl::Milliseconds(1400);
constexpr std::size_t first_fallback_hosts = 32;
// Within this time hosts that read in place of lost readers have reported.
constexpr absl::Duration delay_per_doubling = absl::Milliseconds(600);

} // namespace

void reader_monitor::record_report(const host_id& reader, absl::Time now)
{
    auto& known = m_readers[reader];
    known.reported_at = now;
    known.suspected_until = absl::InfinitePast();
}

void reader_monitor::update(const std::vector<host_id>& readers, absl::Time now)
{
    std::erase_if(m_readers,
                  [&](const auto& entry)
                  {
                      const auto& [host, known] = entry;
                      return known.suspected_until <= now &&
                             std::find(readers.begin(), readers.end(), host) ==
                                 readers.end();
                  });
    for (const auto& reader : readers)
    {
        auto& known = m_readers[reader];
        if (known.chosen_at == absl::InfinitePast() ||
            known.suspected_until != absl::InfinitePast())
        {
            known.chosen_at = now;
            known.suspected_until = absl::InfinitePast();
        }
        const auto last = std::max(known.chosen_at, known.reported_at);
        if (now - last >= max_silence)
        {
            known.suspected_until = now + suspicion_time;
        }
    }
}

bool reader_monitor::is_suspected(const host_id& host, absl::Time now) const
{
    const auto known = m_readers.find(host);
    return known != m_readers.end() && now < known->second.suspected_until;
}

absl::Duration store_fallback_delay(std::size_t position)
{
    const auto doublings = std::bit_width(position / first_fallback_hosts);
    return min_fallback_delay + delay_per_doubling * doublings;
}

} // namespace daleshelf
