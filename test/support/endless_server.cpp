#include "support/endless_server.hpp"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dotterelstack::test {

namespace {

constexpr int poll_ms = 20;

bool ready(int fd, short events) {
    pollfd it{fd, events, 0};
    return ::poll(&it, 1, poll_ms) > 0;
}

} // namespace

endless_server::endless_server(std::string first, std::string repeated)
    : first_{std::move(first)}, repeated_{std::move(repeated)}, listener_{::socket(AF_INET, SOCK_STREAM, 0)} {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof where;
    (void)::bind(listener_, reinterpret_cast<sockaddr *>(&where), n);
    (void)::listen(listener_, 16);
    (void)::getsockname(listener_, reinterpret_cast<sockaddr *>(&where), &n);
    address_ = "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
    thread_ = std::jthread{[this](const std::stop_token &token) { serve(token); }};
}

endless_server::~endless_server() {
    thread_.request_stop();
    thread_.join();
    ::close(listener_);
}

void endless_server::serve(const std::stop_token &token) const {
    while (!token.stop_requested()) {
        if (!ready(listener_, POLLIN)) {
            continue;
        }
        const int peer = ::accept(listener_, nullptr, nullptr);
        std::array<char, 4096> request{};
        (void)::recv(peer, request.data(), request.size(), 0);
        bool open = ::send(peer, first_.data(), first_.size(), MSG_NOSIGNAL) > 0;
        while (open && !token.stop_requested()) {
            if (ready(peer, POLLOUT)) {
                open = ::send(peer, repeated_.data(), repeated_.size(), MSG_NOSIGNAL) > 0;
            }
        }
        ::close(peer);
    }
}

} // namespace dotterelstack::test
