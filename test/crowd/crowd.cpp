#include "crowd/crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace dotterelstack::test {

namespace internal {

constexpr auto round_pause = std::chrono::milliseconds{20};
// Smallest receive buffer of a client that reads slowly; the kernel raises it to its own least.
constexpr int slow_reader_buffer = 4096;

int open_connection(const std::string &address, bool reads_slowly) {
    const auto colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        throw std::runtime_error{"no descriptor for a client of the crowd; raise the limit"};
    }
    if (reads_slowly) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &slow_reader_buffer, sizeof slow_reader_buffer);
    }
    // A server that does not accept leaves the connection in its queue; that is for the test to find.
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    (void)::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to);
    return fd;
}

} // namespace internal

crowd::crowd(const std::string &address, std::size_t clients, const std::function<crowd_script(std::size_t)> &script) {
    clients_.reserve(clients);
    for (std::size_t n = 0; n < clients; ++n) {
        auto own = script(n);
        const int fd = internal::open_connection(address, own.reads_slowly);
        clients_.push_back({fd, std::move(own), 0});
    }
    thread_ = std::thread{[this] { run(); }};
}

crowd::~crowd() {
    stop_ = true;
    thread_.join();
    std::ranges::for_each(clients_, [](const auto &it) {
        if (it.fd >= 0) {
            ::close(it.fd);
        }
    });
}

bool crowd::step(client &it) {
    if (it.fd < 0) {
        return false;
    }
    if (it.script.reads_slowly) {
        char byte = 0;
        (void)::recv(it.fd, &byte, 1, MSG_DONTWAIT);
    }
    const auto &bytes = it.script.bytes;
    const auto end = bytes.size() * it.script.repeats;
    if (it.position >= end) {
        return false;
    }
    const bool slow = it.position >= it.script.slow_from;
    const auto from = it.position % bytes.size();
    const auto n = std::min(bytes.size() - from, slow ? std::size_t{1} : it.script.piece);
    const auto written = ::send(it.fd, bytes.data() + from, n, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written > 0) {
        it.position += static_cast<std::size_t>(written);
        sent_ += static_cast<std::size_t>(written);
        return !slow;
    }
    if (written < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS) {
        ::close(it.fd);
        it.fd = -1;
    }
    return false;
}

void crowd::run() {
    while (!stop_) {
        bool wrote = false;
        for (auto &it : clients_) {
            wrote = step(it) || wrote;
        }
        busy_ = wrote;
        std::this_thread::sleep_for(internal::round_pause);
    }
}

} // namespace dotterelstack::test
