/// @file
/// Stands in for the system's clocks in a process that the soak suspends: a
/// stopped process sees all clocks go on; here the steady one lacks the time
/// that the soak has written into a file. Preloaded by the soak alone.

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace
{

constexpr std::int64_t ns_per_s = 1000000000;

// @return the file's number: nanoseconds for which the process was suspended
const std::atomic<std::int64_t>* open_count()
{
    static const std::atomic<std::int64_t> none = 0;
    const char* path = std::getenv("SOAK_SUSPENDED_NS");
    const int file = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0)
    {
        return &none;
    }
    void* place = ::mmap(nullptr, sizeof none, PROT_READ, MAP_SHARED, file, 0);
    ::close(file);
    return place == MAP_FAILED
               ? &none
               : static_cast<const std::atomic<std::int64_t>*>(place);
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    static const auto* suspended = open_count();
    const auto result =
        static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
    if (result == 0 && clock == CLOCK_MONOTONIC)
    {
        const auto ns =
            time->tv_sec * ns_per_s + time->tv_nsec - suspended->load();
        time->tv_sec = ns / ns_per_s;
        time->tv_nsec = ns % ns_per_s;
    }
    return result;
}
