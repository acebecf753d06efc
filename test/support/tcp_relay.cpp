#include "support/tcp_relay.hpp"

#include <ace/INET_Addr.h>
#include <ace/OS_NS_poll.h>
#include <ace/Pipe.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <stdexcept>
#include <sys/socket.h>
#include <vector>

namespace dotterelstack::test {

namespace internal {

/** One direction of a relayed connection. */
struct relay_half {
    std::string kept{};
    bool silent{false};
    bool ended{false}; /**< The sender has closed its side. */
    bool closed{false};

    [[nodiscard]] bool reads() const noexcept { return !silent && !ended && kept.empty(); }
    [[nodiscard]] bool writes() const noexcept { return !silent && (!kept.empty() || (ended && !closed)); }
};

struct relay_link {
    ACE_SOCK_Stream caller{};
    ACE_SOCK_Stream target{};
    relay_half up{};
    relay_half down{};
    bool broken{false};

    relay_link() = default;
    relay_link(const relay_link &) = delete;
    relay_link &operator=(const relay_link &) = delete;
    relay_link(relay_link &&) = delete;
    relay_link &operator=(relay_link &&) = delete;
    ~relay_link() {
        caller.close();
        target.close();
    }

    [[nodiscard]] bool connected() const { return target.get_handle() != ACE_INVALID_HANDLE; }

    /** Makes closing send a reset, so that the peers notice at once. */
    void reset_on_close() {
        const linger now{1, 0};
        for (auto *it : {&caller, &target}) {
            if (it->get_handle() != ACE_INVALID_HANDLE) {
                it->set_option(SOL_SOCKET, SO_LINGER, const_cast<linger *>(&now), sizeof now);
            }
        }
    }
};

struct relay_sockets {
    ACE_SOCK_Acceptor acceptor;
    ACE_Pipe waker;
};

bool would_block() {
    return errno == EWOULDBLOCK || errno == EAGAIN || errno == EINTR;
}

// Period in which a limited relay carries bytes.
constexpr std::chrono::milliseconds rate_period{5};
constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

/** @param allowance Bytes that may be received; what is received is subtracted. */
void receive(relay_link &link, relay_half &it, const ACE_SOCK_Stream &from, std::size_t &allowance) {
    std::array<char, 65536> buf{};
    const auto n = from.recv(buf.data(), std::min(buf.size(), allowance));
    if (n > 0) {
        it.kept.assign(buf.data(), static_cast<std::size_t>(n));
        allowance -= static_cast<std::size_t>(n);
    } else if (n == 0) {
        it.ended = true;
    } else if (!would_block()) {
        link.broken = true;
    }
}

void send(relay_link &link, relay_half &it, ACE_SOCK_Stream &to) {
    if (!it.kept.empty()) {
        const auto n = to.send(it.kept.data(), it.kept.size(), MSG_NOSIGNAL);
        if (n > 0) {
            it.kept.erase(0, static_cast<std::size_t>(n));
        } else if (!would_block()) {
            link.broken = true;
        }
    }
    if (it.kept.empty() && it.ended && !it.closed) {
        to.close_writer();
        it.closed = true;
    }
}

short wanted(const relay_half &in, const relay_half &out) {
    return static_cast<short>((in.reads() ? POLLIN : 0) | (out.writes() ? POLLOUT : 0));
}

/** Reports of errors cannot be masked, hence a socket without interest gets no entry. */
pollfd entry_of(const ACE_SOCK_Stream &socket, short events) {
    return {events == 0 ? -1 : socket.get_handle(), events, 0};
}

/** @param allowance Bytes that may be carried to the caller. */
void handle(relay_link &it, short caller_events, short target_events, std::size_t &allowance) {
    constexpr short readable = POLLIN | POLLHUP | POLLERR;
    constexpr short writable = POLLOUT | POLLERR;
    if ((caller_events & readable) != 0 && it.up.reads()) {
        auto all = unlimited;
        receive(it, it.up, it.caller, all);
    }
    if ((target_events & readable) != 0 && it.down.reads() && allowance > 0) {
        receive(it, it.down, it.target, allowance);
    }
    if (it.up.writes() && ((target_events & writable) != 0 || caller_events != 0)) {
        send(it, it.up, it.target);
    }
    if (it.down.writes() && ((caller_events & writable) != 0 || target_events != 0)) {
        send(it, it.down, it.caller);
    }
    it.broken = it.broken || (it.up.closed && it.down.closed);
}

} // namespace internal

tcp_relay::tcp_relay(std::string target)
    : target_{std::move(target)}, sockets_{std::make_unique<internal::relay_sockets>()} {
    ACE_INET_Addr bound;
    if (sockets_->acceptor.open(ACE_INET_Addr{static_cast<u_short>(0), "127.0.0.1"}, 1) != 0 ||
        sockets_->acceptor.get_local_addr(bound) != 0 || sockets_->waker.open() != 0) {
        throw std::runtime_error{"cannot open the relay's listener"};
    }
    sockets_->acceptor.enable(ACE_NONBLOCK);
    address_ = "127.0.0.1:" + std::to_string(bound.get_port_number());
    thread_ = std::thread{[this] { run(); }};
}

tcp_relay::~tcp_relay() {
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
        wake();
    }
    thread_.join();
    sockets_->acceptor.close();
    sockets_->waker.close();
}

void tcp_relay::silence_open(direction way) {
    const std::scoped_lock lock{mutex_};
    silence_locked(way);
    wake();
}

void tcp_relay::silence_all(direction way) {
    const std::scoped_lock lock{mutex_};
    silence_locked(way);
    silent_up_ = silent_up_ || way != direction::to_caller;
    silent_down_ = silent_down_ || way != direction::to_target;
    wake();
}

void tcp_relay::pass_new() {
    const std::scoped_lock lock{mutex_};
    silent_up_ = silent_down_ = refusing_ = false;
}

void tcp_relay::release() {
    const std::scoped_lock lock{mutex_};
    silent_up_ = silent_down_ = refusing_ = false;
    for (auto &it : links_) {
        it.up.silent = it.down.silent = false;
    }
    wake();
}

void tcp_relay::cut() {
    const std::scoped_lock lock{mutex_};
    for (auto &it : links_) {
        it.reset_on_close();
    }
    links_.clear();
    wake();
}

void tcp_relay::refuse_all() {
    {
        const std::scoped_lock lock{mutex_};
        refusing_ = true;
    }
    cut();
}

void tcp_relay::limit_rate(std::size_t bytes_per_second) {
    const std::scoped_lock lock{mutex_};
    rate_ = bytes_per_second;
    allowance_ = 0;
    refilled_at_ = std::chrono::steady_clock::now();
    wake();
}

void tcp_relay::refill() {
    if (rate_ == 0) {
        allowance_ = internal::unlimited;
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto fresh = static_cast<std::size_t>(std::chrono::duration<double>{now - refilled_at_}.count() *
                                                static_cast<double>(rate_));
    if (fresh > 0) {
        // What is not used within two periods is lost, as on a link.
        const auto most = std::max<std::size_t>(1, 2 * rate_ * static_cast<std::size_t>(internal::rate_period.count()) /
                                                       std::milli::den);
        allowance_ = std::min(most, allowance_ + fresh);
        refilled_at_ = now;
    }
}

std::size_t tcp_relay::open() const {
    const std::scoped_lock lock{mutex_};
    return links_.size();
}

std::size_t tcp_relay::accepted() const {
    const std::scoped_lock lock{mutex_};
    return accepted_;
}

void tcp_relay::run() {
    std::unique_lock lock{mutex_};
    while (!stopping_) {
        std::erase_if(links_, [](const internal::relay_link &it) { return it.broken; });
        std::vector<pollfd> files{{sockets_->acceptor.get_handle(), POLLIN, 0},
                                  {sockets_->waker.read_handle(), POLLIN, 0}};
        std::vector<internal::relay_link *> order;
        for (auto &it : links_) {
            order.push_back(&it);
            files.push_back(internal::entry_of(it.caller, internal::wanted(it.up, it.down)));
            files.push_back(internal::entry_of(it.target, internal::wanted(it.down, it.up)));
        }
        const auto changes = changes_;
        const bool limited = rate_ > 0;
        lock.unlock();
        if (limited) {
            std::this_thread::sleep_for(internal::rate_period);
        }
        ACE_OS::poll(files.data(), files.size());
        lock.lock();
        refill();
        if (files[1].revents != 0) {
            std::array<char, 64> buf{};
            [[maybe_unused]] const auto n = ACE_OS::read(sockets_->waker.read_handle(), buf.data(), buf.size());
        }
        if (changes != changes_) {
            // A call has changed the connections: the collected events may belong to closed ones.
            continue;
        }
        for (std::size_t it = 0; it < order.size(); ++it) {
            internal::handle(*order[it], files[2 + 2 * it].revents, files[3 + 2 * it].revents, allowance_);
        }
        if (files[0].revents != 0) {
            accept();
        }
    }
    links_.clear();
}

void tcp_relay::wake() {
    ++changes_;
    const char byte = 0;
    [[maybe_unused]] const auto n = ACE_OS::write(sockets_->waker.write_handle(), &byte, 1);
}

void tcp_relay::accept() {
    auto &it = links_.emplace_back();
    if (sockets_->acceptor.accept(it.caller) != 0) {
        links_.pop_back();
        return;
    }
    ++accepted_;
    if (refusing_) {
        it.reset_on_close();
        links_.pop_back();
        return;
    }
    it.up.silent = silent_up_;
    it.down.silent = silent_down_;
    connect(it);
}

void tcp_relay::connect(internal::relay_link &it) const {
    // On the loopback network a connection is made or refused at once, even when the target is paused.
    const ACE_Time_Value limit{1};
    ACE_SOCK_Connector connector;
    if (connector.connect(it.target, ACE_INET_Addr{target_.c_str()}, &limit) != 0) {
        it.reset_on_close();
        it.broken = true;
        return;
    }
    it.caller.enable(ACE_NONBLOCK);
    it.target.enable(ACE_NONBLOCK);
}

void tcp_relay::silence_locked(direction way) {
    for (auto &it : links_) {
        it.up.silent = it.up.silent || way != direction::to_caller;
        it.down.silent = it.down.silent || way != direction::to_target;
    }
}

} // namespace dotterelstack::test
