#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace dotterelstack::test {

namespace internal {
struct relay_link;
struct relay_sockets;
} // namespace internal

/** @brief Parts of a connection that a fault applies to. */
enum class direction {
    both,
    to_target, /**< What callers send. */
    to_caller  /**< What the target sends. */
};

/**
 * @brief Relays TCP connections to one address, with faults, on a thread of its own.
 *
 * A silent connection stays open: neither bytes nor its end are passed on, and what was sent into it is kept.
 */
class tcp_relay {
public:
    /** @param target Address that connections are relayed to, `127.0.0.1:8080`. */
    explicit tcp_relay(std::string target);
    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;
    ~tcp_relay();

    /** @return Address to connect to. */
    [[nodiscard]] const std::string &address() const noexcept { return address_; }

    /** @brief Makes open connections silent for good; new ones are relayed. */
    void silence_open(direction way = direction::both);

    /** @brief Makes open connections silent, and new ones until `pass_new` or `release`. */
    void silence_all(direction way = direction::both);

    /** @brief Relays new connections again; silent ones stay silent. */
    void pass_new();

    /** @brief Relays everything again and delivers what silent connections have kept. */
    void release();

    /** @brief Resets all open connections; new ones are relayed. */
    void cut();

    /** @brief Resets all open connections, and new ones as soon as they are made, until `pass_new` or `release`. */
    void refuse_all();

    /** @brief Limits what all connections together carry to callers, in bytes a second; 0 lifts the limit. */
    void limit_rate(std::size_t bytes_per_second);

    /** @return Number of open connections from callers. */
    [[nodiscard]] std::size_t open() const;

    /** @return Number of connections accepted so far. */
    [[nodiscard]] std::size_t accepted() const;

private:
    void run();
    void wake();
    void accept();
    void connect(internal::relay_link &it) const;
    void silence_locked(direction way);
    void refill();

    std::string target_;
    std::string address_;
    std::unique_ptr<internal::relay_sockets> sockets_;
    mutable std::mutex mutex_;
    std::list<internal::relay_link> links_;
    bool silent_up_{false};
    bool silent_down_{false};
    bool refusing_{false};
    bool stopping_{false};
    std::size_t rate_{0};
    std::size_t allowance_{0}; /**< Bytes that may be carried to callers now, where there is a rate. */
    std::chrono::steady_clock::time_point refilled_at_{};
    std::size_t accepted_{0};
    std::size_t changes_{0};
    std::thread thread_;
};

} // namespace dotterelstack::test
