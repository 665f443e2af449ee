#include "waiting.hpp"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <stdexcept>

namespace daleshelf::test
{

void wait_until(const std::function<bool()>& condition, const std::string& what)
{
    constexpr absl::Duration interval = absl::Milliseconds(10);
    const auto end = absl::Now() + absl::Seconds(90);
    while (!condition())
    {
        if (absl::Now() > end)
        {
            throw std::runtime_error("never came true: " + what);
        }
        absl::SleepFor(interval);
    }
}

} // namespace daleshelf::test
