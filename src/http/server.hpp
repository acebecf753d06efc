#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/byte_budget.hpp"
#include "base/error.hpp"
#include "http/caller_limits.hpp"
#include "http/message.hpp"
#include "net/listener.hpp"

namespace dotterelstack::http {

namespace internal {
struct exchange_state;
struct server_state;
} // namespace internal

/**
 * @brief One received request and the way to answer it, from any thread. Answer with `respond`, or with `start`,
 * `write` and `finish`. Dropping the last copy without an answer closes the connection.
 */
class exchange {
public:
    explicit exchange(const std::shared_ptr<internal::exchange_state> &state);

    /** @return The request, complete with body. */
    [[nodiscard]] const request &message() const noexcept;

    /** @return The request, which is no longer kept here. Call it once. */
    [[nodiscard]] request take_message() const;

    /** @brief Sends a complete response. */
    void respond(const response &answer) const;

    /** @brief Sends status and fields of a response whose body follows by `write`. */
    void start(int status, const field_list &fields) const;

    /** @return False when the caller has gone or the buffer limit is passed; stop producing then. */
    [[nodiscard]] bool write(std::string_view part) const;

    /** @brief Ends a streamed body properly. */
    void finish() const;

    /** @brief Breaks the connection, so that the caller sees the body as incomplete. */
    void abort() const;

    /** @return True once the caller has disconnected. */
    [[nodiscard]] bool caller_gone() const noexcept;

private:
    std::shared_ptr<internal::exchange_state> state_;
};

/** @brief Called on the server's thread for each complete request; must not block. */
using request_handler = std::function<void(exchange)>;

/** @brief Limits of a server. */
struct server_limits {
    std::size_t body_bytes{std::size_t{4} << 20U};
    std::size_t connections{2000};
    unsigned int idle_timeout_seconds{120};
    /** Of the bytes of heads, bodies and answers; outlives the server; null for none. */
    base::byte_budget *budget{nullptr};
    std::size_t request_bytes{0}; /**< What the handler holds for each request, beside its body. */
    std::size_t body_copies{1};   /**< How many copies of a body there are while its request is handled. */
};

/** @brief Connections that a server has closed by itself. */
struct closed_connections {
    std::uint64_t idle{0};        /**< Idle for longer than the limit. */
    std::uint64_t slow{0};        /**< With a head that took longer than the limit. */
    std::uint64_t slow_body{0};   /**< Without progress in a body for longer than the limit. */
    std::uint64_t slow_reader{0}; /**< Whose caller has not read an answer for longer than the limit. */
    std::uint64_t for_room{0};    /**< Idle ones and those with the least progress, to make room. */
    std::uint64_t for_stop{0};    /**< Those without progress, in a stop. */
};

/** @brief HTTP/1.1 server on libmicrohttpd, one thread. */
class server {
public:
    server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;
    server(server &&) = delete;
    server &operator=(server &&) = delete;
    ~server();

    /**
     * @brief Listens and serves.
     * @param address Address to bind, `127.0.0.1:0` for any port.
     * @param wait For an address that another process uses.
     * @return The bound address.
     */
    [[nodiscard]] base::result<std::string> start(std::string_view address, request_handler handler,
                                                  server_limits limits = {}, const net::address_wait &wait = {});

    /** @brief As above, on a listener that is open. */
    [[nodiscard]] base::result<std::string> start(net::listener listener, request_handler handler,
                                                  server_limits limits = {});

    /** @brief Sets the limits on callers, also for connections that are open. Thread-safe. */
    void set_limits(const caller_limits &limits);

    /** @brief Closes connections that have been idle, or without progress, for too long, and makes room if there is
     * none. Call it periodically. Thread-safe. */
    void close_overdue();

    /** @return False while all connections are in use and none can be closed, so that new callers have to wait. */
    [[nodiscard]] bool has_room() const;

    [[nodiscard]] closed_connections closed() const;

    /** @brief Lets each answer from now on announce the end of its connection, so that its caller uses another one. */
    void announce_close() noexcept;

    /**
     * @brief Stops listening; open connections go on, and those whose handshake has begun are accepted first. Blocks
     * for a tenth of a second, or longer while the queue is long.
     * @param until When to give up waiting; what has not been accepted by then is reset, which is logged.
     */
    void quiesce(base::instant until = base::instant::max());

    /**
     * @brief Closes connections as soon as they are not used any more, after `quiesce`. Blocks.
     * @param until When to give up.
     * @return True if none is left.
     */
    [[nodiscard]] bool drain(base::instant until);

    /** @brief Closes everything; requests in progress get no answer, which is logged as `connections_cut`. */
    void stop();

    /** @return Number of requests without a finished response. */
    [[nodiscard]] std::size_t active() const noexcept;

    /** @return Number of open connections. */
    [[nodiscard]] std::size_t connections() const;

private:
    std::unique_ptr<internal::server_state> state_;
};

/**
 * @brief Adapts a blocking function to a handler, for small servers that answer at once.
 * @param answer Function from request to response.
 * @return Handler for `server::start`.
 */
[[nodiscard]] request_handler answer_with(std::function<response(const request &)> answer);

} // namespace dotterelstack::http
