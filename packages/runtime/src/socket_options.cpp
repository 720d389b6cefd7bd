#include "socket_options.hpp"

#include <algorithm>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace jasminetrack::runtime::detail
{
namespace
{

bool listens_at(int descriptor, std::string const& address)
{
    int listening = 0;
    socklen_t size = sizeof listening;
    if (getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) !=
            0 ||
        listening == 0)
        return false;
    sockaddr_in name{};
    size = sizeof name;
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&name), &size) !=
            0 ||
        name.sin_family != AF_INET)
        return false;
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &name.sin_addr, text, sizeof text);
    return address ==
           std::string(text) + ":" + std::to_string(ntohs(name.sin_port));
}

/// A socket filter that lets no packet through; on a listening socket it
/// meets the requests for new connections only.
bool drop_incoming_packets(int descriptor)
{
    sock_filter drop_all[] = {{BPF_RET | BPF_K, 0, 0, 0}};
    sock_fprog const program{1, drop_all};
    return setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof program) == 0;
}

/// \returns the descriptor that listens at the address, or -1.
int find_listener(std::string const& address)
{
    rlimit limit{};
    constexpr rlim_t max_descriptors = 65'536;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return -1;
    auto const end = std::min<rlim_t>(limit.rlim_cur, max_descriptors);
    for (int descriptor = 0; descriptor < static_cast<int>(end); ++descriptor)
        if (listens_at(descriptor, address))
            return descriptor;
    return -1;
}

} // namespace

bool refuse_new_connections(std::string const& address)
{
    int const descriptor = find_listener(address);
    return descriptor >= 0 && drop_incoming_packets(descriptor);
}

bool disable_send_delay(std::string const& address)
{
    int const descriptor = find_listener(address);
    int const on = 1;
    return descriptor >= 0 && setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY,
                                         &on, sizeof on) == 0;
}

} // namespace jasminetrack::runtime::detail
