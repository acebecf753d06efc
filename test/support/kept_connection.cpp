#include "support/kept_connection.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include "http/answer_reader.hpp"

namespace dotterelstack::test {

namespace internal {

constexpr std::size_t head_limit = 65536;

std::string to_bytes(const http::request &message) {
    std::string out = message.method + " " + message.target + " HTTP/1.1\r\n";
    for (const auto &it : message.fields) {
        out += it.name + ": " + it.value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n" + message.body;
}

bool send_all(int fd, std::string_view rest) {
    while (!rest.empty()) {
        const auto n = ::send(fd, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        rest.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

} // namespace internal

std::string describe(const kept_outcome &it) {
    using ending = kept_outcome::ending;
    if (it.how == ending::answered) {
        return std::to_string(it.answer.status);
    }
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(it.ended - it.sent).count();
    const std::string how = it.how == ending::unopened ? "unopened" : it.how == ending::cut ? "cut" : "malformed";
    return how + " (" + (it.error == 0 ? "end of file" : std::strerror(it.error)) + ") after " + std::to_string(ms) +
           " ms, " + std::to_string(it.received) + " bytes of the answer, " + std::to_string(it.earlier) +
           " requests before on the connection";
}

kept_connection::~kept_connection() {
    close();
}

void kept_connection::close() noexcept {
    if (fd_ >= 0) {
        ::close(fd_);
        fd_ = -1;
    }
    answered_ = 0;
}

bool kept_connection::open(const std::string &address, std::chrono::milliseconds timeout) {
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    (void)::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    (void)::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    (void)::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (::connect(fd_, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        close();
        return false;
    }
    return true;
}

kept_outcome kept_connection::send(const std::string &address, const http::request &message,
                                   std::chrono::milliseconds timeout, std::chrono::milliseconds pause) {
    (void)begin(address, message, timeout, pause);
    return finish();
}

bool kept_connection::begin(const std::string &address, const http::request &message, std::chrono::milliseconds timeout,
                            std::chrono::milliseconds pause) {
    begun_ = {};
    method_ = message.method;
    begun_.sent = std::chrono::steady_clock::now();
    if (fd_ < 0 && !open(address, timeout)) {
        begun_.error = errno;
        return false;
    }
    begun_.earlier = answered_;
    begun_.sent = std::chrono::steady_clock::now();
    begun_.how = kept_outcome::ending::cut;
    const auto bytes = internal::to_bytes(message);
    const auto half = pause.count() > 0 ? bytes.size() / 2 : bytes.size();
    const std::string_view all{bytes};
    bool sent = internal::send_all(fd_, all.substr(0, half));
    std::this_thread::sleep_for(pause);
    sent = sent && internal::send_all(fd_, all.substr(half));
    if (!sent) {
        begun_.error = errno;
        close();
    }
    return sent;
}

kept_outcome kept_connection::finish() {
    auto out = std::exchange(begun_, {});
    if (fd_ >= 0) {
        read(out);
    }
    out.ended = std::chrono::steady_clock::now();
    if (out.how != kept_outcome::ending::answered) {
        close();
    }
    return out;
}

void kept_connection::read(kept_outcome &out) {
    http::answer_reader reader{method_, internal::head_limit};
    std::array<char, 16384> buf{};
    while (true) {
        const auto n = ::recv(fd_, buf.data(), buf.size(), 0);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            out.error = n < 0 ? errno : 0;
            const bool whole = n == 0 && reader.is_whole_at(http::end_of_connection(fd_, true));
            out.how = whole ? kept_outcome::ending::answered : kept_outcome::ending::cut;
            out.answer.status = reader.status();
            out.answer.fields = reader.fields();
            // The connection has ended with its answer.
            close();
            return;
        }
        out.received += static_cast<std::size_t>(n);
        std::string_view in{buf.data(), static_cast<std::size_t>(n)};
        auto step = reader.next(in);
        while (step == http::read_step::head || step == http::read_step::part) {
            out.answer.body += step == http::read_step::part ? reader.part() : std::string_view{};
            step = reader.next(in);
        }
        if (step == http::read_step::done) {
            out.how = in.empty() ? kept_outcome::ending::answered : kept_outcome::ending::malformed;
            out.answer.status = reader.status();
            out.answer.fields = reader.fields();
            ++answered_;
            if (!reader.persistent()) {
                close();
            }
            return;
        }
        if (step != http::read_step::more) {
            out.how = kept_outcome::ending::malformed;
            return;
        }
    }
}

} // namespace dotterelstack::test
