#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/byte_budget.hpp"
#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/message.hpp"

namespace dotterelstack::http {

/** @brief Called for each part of a streamed body; returning false cancels the transfer. */
using body_sink = std::function<bool(std::string_view part)>;

/** @brief Called once with status and fields of a response, before its body. */
using head_sink = std::function<void(int status, const field_list &fields)>;

/** @brief Called once, immediately before the last byte of a request; returning false abandons it unfinished. */
using final_check = std::function<bool()>;

/** @brief Limits of one call. */
struct call_options {
    base::duration connect_timeout{std::chrono::seconds{1}};
    base::duration timeout{std::chrono::seconds{5}}; /**< Whole call; zero means none. */
    /** Longest silence inside a stream, or inside an answer that has a `min_receive_rate`; zero means none. */
    base::duration idle_timeout{0};
    bool repeatable{false};       /**< A POST that may arrive twice, and so may use a kept connection. */
    bool fresh_connection{false}; /**< Uses a connection of its own, closed afterwards. */
    std::size_t head_limit{std::size_t{64} << 10U}; /**< Bytes of all heads and trailers of the response. */
    std::size_t body_limit{std::size_t{16} << 20U}; /**< Bytes of a body that is not streamed. */
    base::byte_budget *budget{nullptr};             /**< Shared by all such bodies; outlives the call. */
    /** Bytes a second; what has been received extends `timeout` by its time at this rate, see `time_limit`. Zero
     * extends nothing. Observed by `client` only. */
    std::size_t min_receive_rate{0};
};

/**
 * @brief Blocking HTTP/1.1 client, one call at a time for each calling thread.
 *
 * Errors: `unavailable` when no connection was made, so that nothing can have run; `unknown_outcome` when the
 * connection failed (code `connection_lost`) or timed out (`no_answer`) after the request may have been sent, or the
 * response was longer than permitted;
 * `refused` when a `final_check` said no.
 */
class client {
public:
    client() = default;
    client(const client &) = delete;
    client &operator=(const client &) = delete;
    virtual ~client() = default;

    /**
     * @brief Sends a request and reads the whole response.
     * @param address Host and port, `127.0.0.1:8080`.
     */
    [[nodiscard]] virtual base::result<response> call(std::string_view address, const request &message,
                                                      const call_options &options) = 0;

    /**
     * @brief Sends a request and hands the body of a 200 response to `sink` as it arrives.
     * @return Status and fields; the body only when the status is not 200.
     */
    [[nodiscard]] virtual base::result<response> stream(std::string_view address, const request &message,
                                                        const call_options &options, const body_sink &sink) = 0;

    /** @brief Sends all but the last byte of the body, asks `check`, then completes or closes the connection. */
    [[nodiscard]] virtual base::result<response> call_checked(std::string_view address, const request &message,
                                                              const call_options &options,
                                                              const final_check &check) = 0;

    /**
     * @brief Ends calls that are made from now on at an instant at the latest; from then on calls fail at once, as
     * `unavailable` with the code `stopping`. For a process that has to end by then. Thread-safe.
     */
    virtual void end_calls_at(base::instant /*when*/) {}
};

/**
 * @brief `client` on libcurl. Thread-safe; keeps idle connections for later reads.
 *
 * A call that fails closes the idle connections to its address, so that the next one is made on a new connection.
 */
class curl_client final : public client {
public:
    curl_client();
    ~curl_client() override;
    curl_client(const curl_client &) = delete;
    curl_client &operator=(const curl_client &) = delete;
    curl_client(curl_client &&) = delete;
    curl_client &operator=(curl_client &&) = delete;

    [[nodiscard]] base::result<response> call(std::string_view address, const request &message,
                                              const call_options &options) override;
    [[nodiscard]] base::result<response> stream(std::string_view address, const request &message,
                                                const call_options &options, const body_sink &sink) override;
    [[nodiscard]] base::result<response> call_checked(std::string_view address, const request &message,
                                                      const call_options &options, const final_check &check) override;
    void end_calls_at(base::instant when) override;

private:
    struct pool;
    std::unique_ptr<pool> pool_;
};

} // namespace dotterelstack::http
