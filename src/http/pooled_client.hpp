#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "base/clock.hpp"
#include "http/answer_owner.hpp"
#include "http/async_client.hpp"
#include "http/client.hpp"
#include "http/connection_pool.hpp"
#include "http/message.hpp"

namespace dotterelstack::http {

/** @brief Decides, from the head of an answer, to which request it belongs. Called on the client's thread. */
using owner_check = std::function<answer_owner(const request &sent, const field_list &answer)>;

/**
 * @brief HTTP/1.1 client for servers at numeric addresses that keeps connections; any number of calls on one thread.
 *
 * A request is written at most once, whatever becomes of its connection. On a kept connection an answer that names
 * another request is skipped, and one that names none ends the call as `unknown_outcome`; a connection is kept only
 * after an answer that named its request and was whole. Errors are those of `client`.
 */
class pooled_client {
public:
    /** @param time Must include the time for which the process was suspended. */
    explicit pooled_client(const base::clock &time);
    pooled_client(const pooled_client &) = delete;
    pooled_client &operator=(const pooled_client &) = delete;
    pooled_client(pooled_client &&) = delete;
    pooled_client &operator=(pooled_client &&) = delete;
    ~pooled_client();

    /** @brief Replaces the servers to which connections may be kept. */
    void set_servers(std::span<const pooled_server> all);

    /**
     * @brief Starts a call.
     * @param address Numeric address and port.
     * @param options `idle_timeout` is not observed.
     * @return Identifier for `cancel`.
     */
    std::uint64_t send(std::string_view address, request message, call_options options, async_handlers handlers,
                       owner_check owner);

    /** @brief Ends a call; its `on_end` gets `unknown_outcome` with code `cancelled`. */
    void cancel(std::uint64_t id);

    /** @brief Ends all calls and the thread. */
    void stop();

    [[nodiscard]] connection_counts counts() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelstack::http
