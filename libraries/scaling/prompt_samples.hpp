/// @file
/// The newest prompts of a service, as a sample of what comes.
#pragma once

#include <cstddef>
#include <vector>

namespace daleshelf
{

/// One prompt and when its first event has to be there.
struct prompt_sample
{
    double read_tokens = 0; ///< expected to be read
    double objective_ms = 0;
};

/// Keeps the newest prompts of this host.
class prompt_samples
{
public:
    /// Enough for the share of one prompt in fifty to show.
    static constexpr std::size_t most_kept = 128;

    void add(const prompt_sample& sample)
    {
        if (m_kept.size() < most_kept)
        {
            m_kept.push_back(sample);
            return;
        }
        m_kept[m_next] = sample;
        m_next = (m_next + 1) % most_kept;
    }

    [[nodiscard]] const std::vector<prompt_sample>& all() const
    {
        return m_kept;
    }

private:
    std::vector<prompt_sample> m_kept;
    std::size_t m_next = 0; ///< the oldest, once all places are taken
};

} // namespace daleshelf
