#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "base/error.hpp"
#include "http/client.hpp"
#include "http/message.hpp"

namespace dotterelstack::http {

/** @brief Functions called on the client's thread; `on_end` exactly once, last. */
struct async_handlers {
    body_sink on_data; /**< Parts of a body whose status is 200. */
    /** Status and fields, and the body if it was not streamed; or the error. */
    std::function<void(base::result<response>)> on_end;
    head_sink on_head{}; /**< Status and fields of the response, before its body; may be absent. */
};

/** @brief HTTP/1.1 client on libcurl's multi interface: any number of transfers on one thread. */
class async_client {
public:
    async_client();
    async_client(const async_client &) = delete;
    async_client &operator=(const async_client &) = delete;
    async_client(async_client &&) = delete;
    async_client &operator=(async_client &&) = delete;
    ~async_client();

    /**
     * @brief Starts a transfer.
     * @param address Host and port.
     * @return Identifier for `cancel`.
     */
    std::uint64_t send(std::string_view address, request message, call_options options, async_handlers handlers);

    /** @brief Ends a transfer; its `on_end` gets `unknown_outcome` with code `cancelled`. */
    void cancel(std::uint64_t id);

    /** @brief Ends all transfers and the thread. */
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelstack::http
