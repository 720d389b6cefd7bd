#include "socket_options.hpp"

#include <linux/filter.h>
#include <sys/socket.h>

namespace jasminetrack::runtime::detail
{

bool drop_new_connections(int descriptor)
{
    // On a listening socket the filter applies to new connection requests only;
    // accepted connections have sockets of their own.
    sock_filter drop_all[] = {{BPF_RET | BPF_K, 0, 0, 0}};
    sock_fprog const program{1, drop_all};
    return setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof program) == 0;
}

} // namespace jasminetrack::runtime::detail
