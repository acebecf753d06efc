#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/message.hpp"
#include "transport/event_loop.hpp"
#include "transport/h2_connection.hpp"

namespace dotterelstack::transport {

namespace internal {
struct client_state;
} // namespace internal

/** @brief How a call ended. */
enum class h2_outcome {
    complete,    /**< The peer ended its response properly. */
    not_sent,    /**< No connection was made; the peer has not seen the request. */
    not_started, /**< The peer said that it has not processed the stream. */
    broken,      /**< Reset, lost or silent connection; the peer may have acted. */
    cancelled    /**< Cancelled by this side. */
};

/** @brief Functions called on the loop's thread; `on_end` exactly once, last. */
struct h2_handlers {
    std::function<void(int status, const http::field_list &fields)> on_head;
    std::function<void(std::string_view part)> on_data;
    std::function<void(h2_outcome outcome)> on_end;
};

/** @brief HTTP/2 client without TLS: one connection for each address, replaced at once when it goes silent. */
class h2_client {
public:
    h2_client(event_loop &loop, const base::clock &clock, h2_timings timings = {});
    h2_client(const h2_client &) = delete;
    h2_client &operator=(const h2_client &) = delete;
    h2_client(h2_client &&) = delete;
    h2_client &operator=(h2_client &&) = delete;
    ~h2_client();

    /** @return Identifier for `cancel`. */
    std::uint64_t send(std::string_view address, http::request message, h2_handlers handlers);

    /** @brief Resets the call; its `on_end` gets `cancelled`. Does nothing when the call is over. */
    void cancel(std::uint64_t call);

    /**
     * @brief Sends and waits for the whole response; not for use on the loop's thread.
     * @param timeout Limit for a response that does not come; one that keeps coming extends it, see `http::time_limit`,
     * and ends after a silence of this length.
     */
    [[nodiscard]] base::result<http::response> call(std::string_view address, http::request message,
                                                    base::duration timeout);

    /** @brief Closes all connections. */
    void stop();

private:
    event_loop &loop_;
    std::shared_ptr<internal::client_state> state_;
};

} // namespace dotterelstack::transport
