#include "process_figures.hpp"

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <unistd.h>

namespace daleshelf::benchmark
{

double processor_seconds(pid_t pid)
{
    // Fields 14 and 15, that is 11 fields after the one that follows the
    // name in brackets.
    constexpr int skipped_fields = 11;
    std::ifstream input("/proc/" + std::to_string(pid) + "/stat");
    const std::string text{std::istreambuf_iterator<char>(input), {}};
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < skipped_fields; ++i)
    {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::int64_t resident_kilobytes(pid_t pid)
{
    constexpr std::int64_t bytes_per_kilobyte = 1024;
    std::ifstream input("/proc/" + std::to_string(pid) + "/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    input >> total >> resident;
    return resident * ::sysconf(_SC_PAGESIZE) / bytes_per_kilobyte;
}

} // namespace daleshelf::benchmark
