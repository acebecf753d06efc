#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unistd.h>
#include <utility>
#include <vector>

#include "base/clock.hpp"

namespace dotterelstack::http {

/** @brief A socket that is closed with its owner. */
class owned_socket {
public:
    explicit owned_socket(int fd = -1) noexcept : fd_{fd} {}
    owned_socket(const owned_socket &) = delete;
    owned_socket &operator=(const owned_socket &) = delete;
    owned_socket(owned_socket &&other) noexcept : fd_{std::exchange(other.fd_, -1)} {}
    owned_socket &operator=(owned_socket &&other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~owned_socket() {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }

    [[nodiscard]] int get() const noexcept { return fd_; }

private:
    int fd_;
};

/** @brief A server to which connections may be kept. */
struct pooled_server {
    std::string address;
    std::string incarnation;
    std::uint32_t limit{0}; /**< Connections of this process, in use or not, beyond which none is kept; 0 keeps none. */
};

/** @brief Why a connection was not kept, or was closed while idle. */
enum class drop_reason : std::uint8_t {
    answer,   /**< The answer does not permit another use. */
    no_room,  /**< The limit of the server was reached. */
    aged,     /**< It was idle for too long. */
    ended,    /**< The server closed it, or sent something that was not asked for. */
    failed,   /**< Another call to the server failed. */
    replaced, /**< The server has left, or another one uses its address. */
};
inline constexpr std::size_t drop_reasons = 6;

[[nodiscard]] std::string_view to_string(drop_reason it) noexcept;

/** @brief Totals of a pool. */
struct connection_counts {
    std::uint64_t opened{0};
    std::uint64_t reused{0};
    std::uint64_t reuse_failed{0}; /**< Calls that failed on a kept connection before any byte of an answer. */
    std::uint64_t idle{0};         /**< Kept at the moment. */
    base::duration longest_idle{}; /**< Idle time up to which connections are used at the moment. */
    std::array<std::uint64_t, drop_reasons> dropped{}; /**< By `drop_reason`. */
};

/**
 * @brief Idle connections to servers, and the rules of their reuse. Single-threaded; opens no connections.
 *
 * A connection whose server closes it without notice looks usable, and the next request on it is lost. So the longest
 * idle time is halved when a kept connection fails before any byte of an answer, and grows with successful uses.
 */
class connection_pool {
public:
    connection_pool();

    /** @brief Replaces the servers; connections to those that left or were replaced are closed. */
    void set_servers(std::span<const pooled_server> all);

    /** @return True if connections to the address may be kept. */
    [[nodiscard]] bool knows(std::string_view address) const;

    /** @brief A call begins. @return Number of the incarnation at the address, for `give_back`. */
    [[nodiscard]] std::uint64_t begin(std::string_view address);

    /** @return The connection that was used last, if it may be used once more; then it is no longer idle. */
    [[nodiscard]] std::optional<owned_socket> take(std::string_view address, base::instant now);

    void count_opened() noexcept { ++counts_.opened; }

    /**
     * @brief A call ends and its connection is closed, if there is one.
     * @param incarnation As `begin` returned it.
     */
    void end(std::string_view address, std::uint64_t incarnation, std::optional<drop_reason> why);

    /**
     * @brief A call ends and its connection may be used once more.
     * @param incarnation As `begin` returned it.
     * @param keep_alive Idle time after which the server closes the connection, if known.
     */
    void give_back(std::string_view address, std::uint64_t incarnation, owned_socket connection,
                   std::optional<base::duration> keep_alive, base::instant now);

    /** @brief A call on a kept connection has been answered. */
    void on_reuse_answered() noexcept;

    /** @brief A call has failed on a kept connection before any byte of an answer. */
    void on_reuse_failed(base::instant now) noexcept;

    /** @brief A call has failed; all idle connections to the server are closed. */
    void on_failed(std::string_view address);

    /** @brief The server refuses connections; the limit is halved for a while. */
    void on_refused(std::string_view address, base::instant now);

    /** @brief Something has happened on an idle connection: it has ended, or bytes came. */
    void on_event(int fd);

    /** @brief Closes the connections that have been idle for too long. */
    void expire(base::instant now);

    [[nodiscard]] const connection_counts &counts() const noexcept { return counts_; }

private:
    struct idle_connection {
        owned_socket connection;
        base::instant since{};
        base::instant until{};
    };
    struct server_state {
        std::string incarnation;
        std::uint64_t number{0};
        std::uint32_t limit{0};
        std::uint32_t busy{0};
        base::instant reduced_until{};
        std::vector<idle_connection> idle; /**< In the order in which they were given back. */
    };

    void drop(server_state &of, std::size_t first, std::size_t n, drop_reason why);
    [[nodiscard]] bool usable(const idle_connection &it, base::instant now) const;

    std::map<std::string, server_state, std::less<>> servers_;
    std::uint64_t next_number_{1};
    base::instant shortened_at_{};
    connection_counts counts_;
};

} // namespace dotterelstack::http
