#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/message.hpp"
#include "net/listener.hpp"
#include "transport/event_loop.hpp"
#include "transport/h2_connection.hpp"

namespace dotterelstack::transport {

namespace internal {
struct server_stream;
class server_connection;
class h2_acceptor;
} // namespace internal

/**
 * @brief One request received over HTTP/2 and the way to answer it, from any thread. Answer with `respond`, or with
 * `start`, `write` and `finish`.
 */
class h2_stream {
public:
    explicit h2_stream(std::shared_ptr<internal::server_stream> state) : state_{std::move(state)} {}

    [[nodiscard]] const http::request &message() const noexcept;
    void respond(const http::response &answer) const;
    void start(int status, const http::field_list &fields) const;

    /** @return False when the peer has gone or the buffer limit is passed. */
    [[nodiscard]] bool write(std::string_view part) const;
    void finish() const;

    /** @brief Resets the stream, so that the peer sees the response as incomplete. */
    void abort() const;
    [[nodiscard]] bool peer_gone() const noexcept;

private:
    std::shared_ptr<internal::server_stream> state_;
};

/** @brief Called on the loop's thread for each complete request; must not block. */
using h2_handler = std::function<void(h2_stream)>;

/** @brief HTTP/2 server without TLS on an event loop. */
class h2_server {
public:
    h2_server(event_loop &loop, const base::clock &clock, h2_timings timings = {});
    h2_server(const h2_server &) = delete;
    h2_server &operator=(const h2_server &) = delete;
    h2_server(h2_server &&) = delete;
    h2_server &operator=(h2_server &&) = delete;
    ~h2_server();

    /** @return The bound address. */
    [[nodiscard]] base::result<std::string> listen(std::string_view address, h2_handler handler);

    /** @brief As above, on a listener that is open. */
    [[nodiscard]] base::result<std::string> listen(net::listener listener, h2_handler handler);

    /**
     * @brief Stops accepting connections, and tells peers to open no further streams. Those whose handshake has begun
     * are accepted first, and streams that peers open before they know are still handled. Blocks for 50 ms, and up
     * to 200 ms more until all peers know.
     */
    void quiesce();

    /** @return Number of connections; after `quiesce` each goes when its last stream has been sent. */
    [[nodiscard]] std::size_t connections();

    /**
     * @brief Waits, after `quiesce`, until all connections have ended by themselves.
     * @param until When to give up.
     * @return True if none is left.
     */
    [[nodiscard]] bool drain(base::instant until);

    /** @brief Closes everything; calls that are open get no answer. */
    void stop();

private:
    event_loop &loop_;
    const base::clock &clock_;
    const h2_timings timings_;
    std::shared_ptr<internal::h2_acceptor> acceptor_;
};

} // namespace dotterelstack::transport
