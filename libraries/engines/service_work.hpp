/// @file
/// Work that requests bring to a service.
#pragma once

namespace daleshelf
{

/// Sums over the prompts that one host has sent since its start, or total rates
/// per second over all hosts.
struct service_work
{
    double prompts = 0;
    double read_tokens = 0;         ///< expected prefill tokens
    double read_tokens_squared = 0; ///< sum of their squares per prompt
    double allowed_tokens = 0;      ///< sum of the output token limits

    service_work& operator+=(const service_work& other)
    {
        prompts += other.prompts;
        read_tokens += other.read_tokens;
        read_tokens_squared += other.read_tokens_squared;
        allowed_tokens += other.allowed_tokens;
        return *this;
    }

    friend service_work operator-(service_work left, const service_work& right)
    {
        return left += right * -1;
    }

    friend service_work operator*(service_work left, double factor)
    {
        left.prompts *= factor;
        left.read_tokens *= factor;
        left.read_tokens_squared *= factor;
        left.allowed_tokens *= factor;
        return left;
    }
};

} // namespace daleshelf
