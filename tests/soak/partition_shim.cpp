/// @file
/// Partitions one process from all servers, to which new connections are then
/// refused or hang, or from its peers: their connections are refused, and
/// datagrams dropped. Preloaded by the soak into gateways, which it controls by
/// a number in a file.

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <cstddef>
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
    peers = 3,
};

using connect_function = int (*)(int, const sockaddr*, socklen_t);
using sendto_function = ssize_t (*)(int, const void*, size_t, int,
                                    const sockaddr*, socklen_t);
using sendmsg_function = ssize_t (*)(int, const msghdr*, int);
using recvfrom_function = ssize_t (*)(int, void*, size_t, int, sockaddr*,
                                      socklen_t*);
using recvmsg_function = ssize_t (*)(int, msghdr*, int);

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

partition_mode current_mode()
{
    static const auto* mode = open_mode();
    return static_cast<partition_mode>(mode->load());
}

bool has_port(const sockaddr* address, int port)
{
    const auto* internet = reinterpret_cast<const sockaddr_in*>(address);
    return address->sa_family == AF_INET && ntohs(internet->sin_port) == port;
}

bool is_server(const sockaddr* address)
{
    static const int server_port = port_in("SOAK_SERVER_PORT");
    return has_port(address, server_port);
}

bool is_peer(const sockaddr* address)
{
    static const int peer_port = port_in("SOAK_PEER_PORT");
    return has_port(address, peer_port);
}

// @return whether datagrams of the socket are dropped; only peers use datagrams
bool drops_datagrams(int socket)
{
    int type = 0;
    socklen_t size = sizeof type;
    return current_mode() == partition_mode::peers &&
           ::getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 &&
           type == SOCK_DGRAM;
}

ssize_t drop_received(ssize_t result)
{
    if (result >= 0)
    {
        errno = EAGAIN;
    }
    return -1;
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
    const auto current = current_mode();
    const bool is_affected = current == partition_mode::peers
                                 ? is_peer(address)
                                 : is_server(address);
    if (current == partition_mode::none || !is_affected)
    {
        return system_connect(socket, address, size);
    }
    if (current != partition_mode::silence)
    {
        errno = ECONNREFUSED;
        return -1;
    }
    const auto silent = silent_address();
    return system_connect(socket, reinterpret_cast<const sockaddr*>(&silent),
                          sizeof silent);
}

extern "C" ssize_t sendto(int socket, const void* data, size_t size, int flags,
                          const sockaddr* address, socklen_t address_size)
{
    static const auto system_sendto =
        reinterpret_cast<sendto_function>(::dlsym(RTLD_NEXT, "sendto"));
    return drops_datagrams(socket) ? static_cast<ssize_t>(size)
                                   : system_sendto(socket, data, size, flags,
                                                   address, address_size);
}

extern "C" ssize_t sendmsg(int socket, const msghdr* message, int flags)
{
    static const auto system_sendmsg =
        reinterpret_cast<sendmsg_function>(::dlsym(RTLD_NEXT, "sendmsg"));
    if (!drops_datagrams(socket))
    {
        return system_sendmsg(socket, message, flags);
    }
    std::size_t size = 0;
    for (std::size_t index = 0; index < message->msg_iovlen; ++index)
    {
        size += message->msg_iov[index].iov_len;
    }
    return static_cast<ssize_t>(size);
}

extern "C" ssize_t recvfrom(int socket, void* data, size_t size, int flags,
                            sockaddr* address, socklen_t* address_size)
{
    static const auto system_recvfrom =
        reinterpret_cast<recvfrom_function>(::dlsym(RTLD_NEXT, "recvfrom"));
    const auto result =
        system_recvfrom(socket, data, size, flags, address, address_size);
    return drops_datagrams(socket) ? drop_received(result) : result;
}

extern "C" ssize_t recvmsg(int socket, msghdr* message, int flags)
{
    static const auto system_recvmsg =
        reinterpret_cast<recvmsg_function>(::dlsym(RTLD_NEXT, "recvmsg"));
    const auto result = system_recvmsg(socket, message, flags);
    return drops_datagrams(socket) ? drop_received(result) : result;
}
