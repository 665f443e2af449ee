/// @file
/// The newest prompts of a service, as a sample of its load.
#pragma once

#include <cstddef>
#include <vector>

namespace daleshelf
{

/// One prompt and its time-to-first-event objective.
struct prompt_sample
{
    double read_tokens = 0; ///< expected prefill tokens
    double objective_ms = 0;
};

/// Ring buffer of this host's newest prompts.
class prompt_samples
{
public:
    /// Large enough to represent prompts that are one in fifty.
    static constexpr std::size_t max_samples = 128;

    void add(const prompt_sample& sample)
    {
        if (m_samples.size() < max_samples)
        {
            m_samples.push_back(sample);
            return;
        }
        m_samples[m_next_index] = sample;
        m_next_index = (m_next_index + 1) % max_samples;
    }

    [[nodiscard]] const std::vector<prompt_sample>& all() const
    {
        return m_samples;
    }

private:
    std::vector<prompt_sample> m_samples;
    std::size_t m_next_index =
        0; ///< the oldest sample, once the buffer is full
};

} // namespace daleshelf
