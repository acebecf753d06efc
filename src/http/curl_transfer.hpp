#pragma once

#include <cstddef>
#include <curl/curl.h>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "http/answer_reader.hpp"
#include "http/client.hpp"

namespace dotterelstack::http::internal {

using easy_ptr = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using list_ptr = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

using multi_ptr = std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)>;

class socket_table;

/** @brief State of one libcurl transfer; must stay in place while the transfer runs. */
struct transfer {
    const request &message;
    const body_sink *sink{nullptr};
    const head_sink *head{nullptr};
    const final_check *check{nullptr};
    CURL *handle{nullptr};
    std::optional<answer_reader> reader{}; /**< Gets all bytes of the answer; libcurl decodes none of them. */
    response answer{};
    socket_table *sockets{nullptr};
    curl_socket_t socket{CURL_SOCKET_BAD};
    std::optional<connection_end> end{}; /**< Of its connection, if that has been closed. */
    std::size_t sent{0};
    bool checked{false};
    bool check_failed{false};
    bool sink_stopped{false};
    std::size_t body_limit{0}; /**< Bytes of a body that is not streamed that are accepted. */
    bool too_long{false};
    bool malformed{false};
    std::size_t received{0};                    /**< Bytes of the body, with its chunk lines and trailers. */
    std::unique_ptr<base::byte_holding> held{}; /**< What the body has taken of the budget, if there is one. */
    list_ptr headers{nullptr, &curl_slist_free_all};
};

/**
 * @brief Knows which transfer uses which socket of a libcurl multi handle, and observes how connections end. Must
 * outlive the multi handle.
 */
class socket_table {
public:
    socket_table() = default;
    socket_table(const socket_table &) = delete;
    socket_table &operator=(const socket_table &) = delete;
    socket_table(socket_table &&) = delete;
    socket_table &operator=(socket_table &&) = delete;
    ~socket_table() = default;

    void assign(curl_socket_t socket, transfer &user);

    /** @brief Assigns all sockets that are open, where there is one transfer at a time; null if there is none. */
    void assign_all(transfer *user);

    /** @brief Call it when a transfer has ended. Its connection may be used by others. */
    void release(transfer &user);

    /** @brief Observes the end of a connection for the transfer that uses it, and closes its socket. */
    [[nodiscard]] int close(curl_socket_t socket);

private:
    std::unordered_map<curl_socket_t, transfer *> users_; /**< Null for connections that are idle. */
};

/** @brief Initialises libcurl once for the process. */
void ensure_curl();

/**
 * @return Handle for one transfer. A handle must not be used for another one: libcurl 7.88 keeps a pointer to the last
 * field of an answer, and an answer to the next transfer whose first field line is folded has it written through.
 */
[[nodiscard]] easy_ptr new_handle();

/**
 * @brief Prepares an easy handle for a transfer.
 * @param sockets Those of the multi handle that the transfer will be added to.
 */
void prepare(CURL *handle, transfer &it, std::string_view address, const call_options &options, socket_table &sockets);

/**
 * @brief Runs a prepared transfer until it ends or its limit has passed. Blocks.
 * @param connections Keeps the connection afterwards.
 * @param longest Limit on the time, whatever is received meanwhile.
 */
[[nodiscard]] CURLcode perform(CURLM *connections, transfer &it, const call_options &options, base::duration longest);

/** @brief Turns the end of a transfer into a response or an error. */
[[nodiscard]] base::result<response> conclude(CURLcode ec, transfer &it, std::string_view address);

} // namespace dotterelstack::http::internal
