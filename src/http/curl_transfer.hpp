#pragma once

#include <cstddef>
#include <curl/curl.h>
#include <memory>
#include <optional>
#include <string_view>

#include "http/answer_reader.hpp"
#include "http/client.hpp"

namespace dotterelstack::http::internal {

using easy_ptr = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using list_ptr = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

using multi_ptr = std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)>;

/** @brief State of one libcurl transfer; must stay in place while the transfer runs. */
struct transfer {
    const request &message;
    const body_sink *sink{nullptr};
    const head_sink *head{nullptr};
    const final_check *check{nullptr};
    CURL *handle{nullptr};
    std::optional<answer_reader> reader{}; /**< Gets all bytes of the answer; libcurl decodes none of them. */
    response answer{};
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

/** @brief Initialises libcurl once for the process. */
void ensure_curl();

/**
 * @return Handle for one transfer. A handle must not be used for another one: libcurl 7.88 keeps a pointer to the last
 * field of an answer, and an answer to the next transfer whose first field line is folded has it written through.
 */
[[nodiscard]] easy_ptr new_handle();

/** @brief Prepares an easy handle for a transfer. */
void prepare(CURL *handle, transfer &it, std::string_view address, const call_options &options);

/**
 * @brief Runs a prepared transfer until it ends or its limit has passed. Blocks.
 * @param connections Keeps the connection afterwards.
 * @param longest Limit on the time, whatever is received meanwhile.
 */
[[nodiscard]] CURLcode perform(CURLM *connections, transfer &it, const call_options &options, base::duration longest);

/** @brief Turns the end of a transfer into a response or an error. */
[[nodiscard]] base::result<response> conclude(CURLcode ec, transfer &it, std::string_view address);

} // namespace dotterelstack::http::internal
