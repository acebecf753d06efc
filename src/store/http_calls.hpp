#pragma once

#include <string>
#include <string_view>

#include "http/client.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::store {

/** @brief Deadlines of a store client. */
struct http_store_options {
    base::duration connect_timeout{std::chrono::milliseconds{500}};
    base::duration timeout{std::chrono::seconds{2}}; /**< Whole call; a watch adds its own wait to it. */
    /** Bytes a second at which a read may still come; what has come extends the timeout. */
    std::size_t min_receive_rate{std::size_t{64} << 10U};
};

/**
 * @brief Reads from a store over HTTP.
 * @param limits Of a watch, whose wait is added to the timeout; a plain read waits for nothing.
 * @return The answer, whatever its status. A read without answer is a `timeout`, as it has no outcome to be unknown.
 */
[[nodiscard]] base::result<http::response> call_read(http::client &client, std::string_view address,
                                                     const std::string &target, const http_store_options &options,
                                                     const watch_limits &limits = {});

/** @return The answer of a write, whatever its status. */
[[nodiscard]] base::result<http::response> call_write(http::client &client, std::string_view address,
                                                      const http::request &message, const http_store_options &options);

/** @return Error for an answer that no object store gives. */
[[nodiscard]] base::error bad_answer(base::error_kind kind, const std::string &what);

} // namespace dotterelstack::store
