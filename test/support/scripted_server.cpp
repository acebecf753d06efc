#include "support/scripted_server.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dotterelstack::test {

namespace {

constexpr int poll_ms = 10;
constexpr auto late_after = std::chrono::milliseconds{30};

bool readable(int fd) {
    pollfd it{fd, POLLIN, 0};
    return ::poll(&it, 1, poll_ms) > 0;
}

/** @return True if the text holds a whole request. */
bool is_whole(const std::string &text) {
    const auto end = text.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    const auto length = text.find("Content-Length: ");
    const auto size = length < end ? std::stoul(text.substr(length + 16)) : 0;
    return text.size() >= end + 4 + size;
}

void send_text(int peer, const std::string &text) {
    (void)::send(peer, text.data(), text.size(), MSG_NOSIGNAL);
}

} // namespace

scripted_server::scripted_server(script what) : script_{std::move(what)}, listener_{::socket(AF_INET, SOCK_STREAM, 0)} {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof where;
    (void)::bind(listener_, reinterpret_cast<sockaddr *>(&where), n);
    (void)::listen(listener_, 64);
    (void)::getsockname(listener_, reinterpret_cast<sockaddr *>(&where), &n);
    address_ = "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
    thread_ = std::jthread{[this](const std::stop_token &token) { accept(token); }};
}

scripted_server::~scripted_server() {
    thread_.request_stop();
    thread_.join();
    peers_.clear();
    ::close(listener_);
}

void scripted_server::accept(const std::stop_token &token) {
    while (!token.stop_requested()) {
        if (!readable(listener_)) {
            continue;
        }
        const int peer = ::accept(listener_, nullptr, nullptr);
        const int number = connections_++;
        const std::scoped_lock lock{mutex_};
        open_.push_back(peer);
        peers_.emplace_back([this, peer, number](const std::stop_token &stop) { serve(stop, peer, number); });
    }
}

void scripted_server::serve(const std::stop_token &token, int peer, int number) {
    std::string text;
    std::array<char, 4096> input{};
    for (int request = 0; !token.stop_requested();) {
        if (!readable(peer)) {
            continue;
        }
        const auto n = ::recv(peer, input.data(), input.size(), 0);
        if (n <= 0) {
            break;
        }
        text.append(input.data(), static_cast<std::size_t>(n));
        if (!is_whole(text)) {
            continue;
        }
        ++requests_;
        const auto what = script_(number, request++, text);
        text.clear();
        send_text(peer, what.text);
        if (!what.late.empty()) {
            std::this_thread::sleep_for(late_after);
            send_text(peer, what.late);
        }
        if (what.after == scripted_answer::then::reset) {
            const linger now{1, 0};
            ::setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        while (what.after == scripted_answer::then::hold && !token.stop_requested()) {
            std::this_thread::sleep_for(std::chrono::milliseconds{poll_ms});
        }
        if (what.after != scripted_answer::then::keep) {
            break;
        }
    }
    const std::scoped_lock lock{mutex_};
    std::erase(open_, peer);
    ::close(peer);
}

void scripted_server::close_open() {
    const std::scoped_lock lock{mutex_};
    std::ranges::for_each(open_, [](int it) { ::shutdown(it, SHUT_RDWR); });
}

} // namespace dotterelstack::test
