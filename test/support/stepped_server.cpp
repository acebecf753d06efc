#include "support/stepped_server.hpp"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace dotterelstack::test {

namespace {

constexpr int poll_timeout_ms = 10'000;

void wait_readable(int fd) {
    pollfd it{fd, POLLIN, 0};
    if (::poll(&it, 1, poll_timeout_ms) <= 0) {
        throw std::runtime_error{"the client did nothing for ten seconds"};
    }
}

} // namespace

stepped_server::stepped_server() : listener_{::socket(AF_INET, SOCK_STREAM, 0)} {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof where;
    (void)::bind(listener_, reinterpret_cast<sockaddr *>(&where), n);
    (void)::listen(listener_, 1);
    (void)::getsockname(listener_, reinterpret_cast<sockaddr *>(&where), &n);
    address_ = "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
}

stepped_server::~stepped_server() {
    close();
    ::close(listener_);
}

void stepped_server::accept() {
    if (peer_ < 0) {
        wait_readable(listener_);
        peer_ = ::accept(listener_, nullptr, nullptr);
    }
}

void stepped_server::read_more() {
    std::array<char, 65536> buf{};
    wait_readable(peer_);
    const auto n = ::recv(peer_, buf.data(), buf.size(), 0);
    if (n <= 0) {
        throw std::runtime_error{"the client ended the connection"};
    }
    received_.append(buf.data(), static_cast<std::size_t>(n));
}

void stepped_server::read_until(std::string_view text) {
    accept();
    while (received_.find(text) == std::string::npos) {
        read_more();
    }
}

void stepped_server::read_body(std::size_t bytes) {
    constexpr std::string_view end_of_head{"\r\n\r\n"};
    read_until(end_of_head);
    const auto whole = received_.find(end_of_head) + end_of_head.size() + bytes;
    while (received_.size() < whole) {
        read_more();
    }
}

void stepped_server::send(std::string_view text) const {
    (void)::send(peer_, text.data(), text.size(), MSG_NOSIGNAL);
}

void stepped_server::end_output() const {
    (void)::shutdown(peer_, SHUT_WR);
}

void stepped_server::reset() {
    const linger now{1, 0};
    ::setsockopt(peer_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

void stepped_server::close() {
    if (peer_ >= 0) {
        ::close(std::exchange(peer_, -1));
    }
}

} // namespace dotterelstack::test
