#pragma once

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace dotterelstack::net {

/** @brief How to go on when another process listens on the address. */
struct address_wait {
    /** Longest time until that process, which may be a predecessor that is stopping, has to be done. */
    base::duration limit{0};
    /** @return True when the wait is to end early, for example because of a signal. May be empty. */
    std::function<bool()> interrupted{};
};

/**
 * @brief A TCP socket that listens on an address which no other process listens on. Closed on destruction.
 *
 * A library may accept from it. To stop without losing connections: `hold_off`, accept until `waiting` is 0, `shut`.
 */
class listener {
public:
    listener() = default;
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;
    listener(listener &&other) noexcept;
    listener &operator=(listener &&other) noexcept;
    ~listener();

    /**
     * @brief Binds and listens.
     * @param address IPv4 address with port; port 0 for any free one.
     * @return `bad_address`, or `cannot_listen` if the address is still in use at the end of the wait, or for any other
     * reason of the system.
     */
    [[nodiscard]] static base::result<listener> open(std::string_view address, const address_wait &wait = {});

    /** @return The socket, non-blocking; -1 if there is none. */
    [[nodiscard]] int fd() const noexcept { return fd_; }

    /** @return The bound address. */
    [[nodiscard]] const std::string &address() const noexcept { return address_; }

    /** @brief Sets the size of the receive buffer of later connections, in bytes, as far as the system permits. */
    void set_receive_buffer(int bytes) const noexcept;

    /**
     * @brief Lets no handshake begin; those that have begun go on. Clients repeat their first packet after a second.
     * @return False where the system has no means for it.
     */
    bool hold_off() const noexcept;

    /** @return Connections whose handshake is done and that have not been accepted, as far as the system tells. */
    [[nodiscard]] std::size_t waiting() const noexcept;

    /** @brief Refuses new connections and frees the address. The descriptor stays valid, for who may still use it. */
    void shut() const noexcept;

private:
    listener(int fd, std::string address) noexcept : fd_{fd}, address_{std::move(address)} {}

    int fd_{-1};
    std::string address_;
};

/**
 * @brief Opens all listeners of a process before anything else of it starts. Waits for a predecessor that is stopping;
 * SIGTERM or SIGINT, if blocked and pending, ends the wait. A failure is logged as `listen_failed`.
 * @param addresses In the order in which a predecessor frees them last to first, so that no caller waits in a queue
 * while other addresses are still in use.
 * @param limit Longest wait for all of them together.
 * @return Listeners in the order of the addresses, or the error of the first that cannot be opened.
 */
[[nodiscard]] base::result<std::vector<listener>> open_listeners(std::initializer_list<std::string_view> addresses,
                                                                 base::duration limit);

/** @return True if SIGTERM or SIGINT is blocked and pending. */
[[nodiscard]] bool stop_pending() noexcept;

} // namespace dotterelstack::net
