/// @file
/// Partitions one process from all servers: connections that it opens to them
/// are refused, or hang. Preloaded by the soak into gateways, which it controls
/// by a number in a file.

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

enum class partition_mode : std::int64_t
{
    none = 0,
    refuse = 1,
    silence = 2,
};

using connect_function = int (*)(int, const sockaddr*, socklen_t);

// @return the file's number, a partition_mode
const std::atomic<std::int64_t>* open_mode()
{
    static const std::atomic<std::int64_t> none = 0;
    const char* path = std::getenv("SOAK_PARTITION");
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

int port_in(const char* variable)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? -1 : std::atoi(text); // NOLINT
}

bool is_server(const sockaddr* address)
{
    static const int server_port = port_in("SOAK_SERVER_PORT");
    const auto* internet = reinterpret_cast<const sockaddr_in*>(address);
    return address->sa_family == AF_INET &&
           ntohs(internet->sin_port) == server_port;
}

// @return an address whose queue of connections is full, so that connecting to
// it hangs
sockaddr_in silent_address()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(port_in("SOAK_SILENT_PORT")));
    ::inet_pton(AF_INET, std::getenv("SOAK_SILENT_IP"), &address.sin_addr);
    return address;
}

} // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t size)
{
    static const auto system_connect =
        reinterpret_cast<connect_function>(::dlsym(RTLD_NEXT, "connect"));
    static const auto* mode = open_mode();
    const auto current = static_cast<partition_mode>(mode->load());
    if (current == partition_mode::none || !is_server(address))
    {
        return system_connect(socket, address, size);
    }
    if (current == partition_mode::refuse)
    {
        errno = ECONNREFUSED;
        return -1;
    }
    const auto silent = silent_address();
    return system_connect(socket, reinterpret_cast<const sockaddr*>(&silent),
                          sizeof silent);
}
