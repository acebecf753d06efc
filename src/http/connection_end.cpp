#include "http/connection_end.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace dotterelstack::http {

connection_end end_of_connection(int fd, bool request_written) noexcept {
    int error = 0;
    socklen_t n = sizeof error;
    (void)::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
    // Bytes that the peer has not acknowledged. A host that closes a connection acknowledges nothing after its end.
    int unacknowledged = 0;
    (void)::ioctl(fd, SIOCOUTQ, &unacknowledged);
    return error == 0 && request_written && unacknowledged == 0 ? connection_end::orderly : connection_end::broken;
}

} // namespace dotterelstack::http
