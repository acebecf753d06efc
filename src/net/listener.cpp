#include "net/listener.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstring>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include "log/event.hpp"

namespace dotterelstack::net {

namespace internal {

// Pause between two attempts to bind an address that is in use.
constexpr auto bind_retry = std::chrono::milliseconds{20};
constexpr int queue_length = 1024;

std::optional<sockaddr_in> parse_address(std::string_view address) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto text = address.substr(colon + 1);
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    const std::string host{address.substr(0, colon)};
    if (ec != std::errc{} || end != text.data() + text.size() ||
        ::inet_pton(AF_INET, host.c_str(), &out.sin_addr) != 1) {
        return std::nullopt;
    }
    out.sin_port = htons(port);
    return out;
}

/** @return The socket, or the negative of `errno`. */
int open_socket(const sockaddr_in &where) noexcept {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        return -errno;
    }
    // For connections of a predecessor that have not been forgotten. It does not let two processes listen at once.
    const int on = 1;
    (void)::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0 || ::listen(fd, queue_length) != 0) {
        const int out = -errno;
        ::close(fd);
        return out;
    }
    return fd;
}

std::uint16_t port_of(int fd) noexcept {
    sockaddr_in out{};
    socklen_t size = sizeof out;
    return ::getsockname(fd, reinterpret_cast<sockaddr *>(&out), &size) == 0 ? ntohs(out.sin_port) : 0;
}

} // namespace internal

listener::listener(listener &&other) noexcept
    : fd_{std::exchange(other.fd_, -1)}, address_{std::move(other.address_)} {}

listener &listener::operator=(listener &&other) noexcept {
    std::swap(fd_, other.fd_);
    std::swap(address_, other.address_);
    return *this;
}

listener::~listener() {
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

base::result<listener> listener::open(std::string_view address, const address_wait &wait) {
    const auto where = internal::parse_address(address);
    if (!where) {
        return base::fail(base::error_kind::invalid_argument, "bad_address",
                          "'" + std::string{address} +
                              "' is no IPv4 address with port; write for example 127.0.0.1:8080");
    }
    const auto until = std::chrono::steady_clock::now() + wait.limit;
    int fd = internal::open_socket(*where);
    if (fd == -EADDRINUSE && wait.limit > base::duration{0}) {
        log::write("address_in_use", {{"address", address}});
    }
    while (fd == -EADDRINUSE && std::chrono::steady_clock::now() < until && !(wait.interrupted && wait.interrupted())) {
        std::this_thread::sleep_for(internal::bind_retry);
        fd = internal::open_socket(*where);
    }
    if (fd < 0) {
        return base::fail(base::error_kind::unavailable, "cannot_listen",
                          "cannot listen on " + std::string{address} + ": " + std::strerror(-fd) +
                              "; choose a free port or stop its user");
    }
    const auto host = address.substr(0, address.rfind(':') + 1);
    return listener{fd, std::string{host} + std::to_string(internal::port_of(fd))};
}

void listener::set_receive_buffer(int bytes) const noexcept {
    (void)::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

bool listener::hold_off() const noexcept {
    // Passes each segment to the listener but those that only open a connection.
    constexpr std::uint32_t flags_offset = 13;
    constexpr std::uint32_t syn_and_ack = 0x12;
    constexpr std::uint32_t syn = 0x02;
    constexpr std::uint32_t whole = 0xffffffff;
    std::array<sock_filter, 5> code{{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
                                     BPF_STMT(BPF_ALU | BPF_AND | BPF_K, syn_and_ack),
                                     BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, syn, 0, 1), BPF_STMT(BPF_RET | BPF_K, 0),
                                     BPF_STMT(BPF_RET | BPF_K, whole)}};
    const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
    return ::setsockopt(fd_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}

std::size_t listener::waiting() const noexcept {
    tcp_info about{};
    socklen_t size = sizeof about;
    // Of a socket that listens, the kernel gives the length of its queue in this field.
    if (::getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &about, &size) == 0 && about.tcpi_unacked > 0) {
        return about.tcpi_unacked;
    }
    pollfd queue{fd_, POLLIN, 0};
    return ::poll(&queue, 1, 0) > 0 && (queue.revents & POLLIN) != 0 ? 1 : 0;
}

void listener::shut() const noexcept {
    (void)::shutdown(fd_, SHUT_RD);
}

base::result<std::vector<listener>> open_listeners(std::initializer_list<std::string_view> addresses,
                                                   base::duration limit) {
    const auto until = std::chrono::steady_clock::now() + limit;
    std::vector<listener> out;
    for (const auto address : addresses) {
        const auto left = std::chrono::duration_cast<base::duration>(until - std::chrono::steady_clock::now());
        auto it = listener::open(address, {std::max(left, base::duration{0}), &stop_pending});
        if (!it) {
            log::write("listen_failed", {{"address", address}, {"reason", it.error().message}});
            return it.as_failure();
        }
        out.push_back(std::move(it.value()));
    }
    return out;
}

bool stop_pending() noexcept {
    sigset_t pending;
    return ::sigpending(&pending) == 0 && (sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1);
}

} // namespace dotterelstack::net
