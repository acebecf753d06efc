#pragma once

#include "http/client.hpp"
#include "transport/h2_client.hpp"

namespace dotterelstack::transport {

/**
 * @brief `http::client` over HTTP/2 for calls between own processes.
 *
 * `call_checked` makes its check immediately before the request is queued, because HTTP/2 frames a body as a whole; an
 * agent repeats the check against the lease in the store.
 */
class h2_call_client final : public http::client {
public:
    explicit h2_call_client(h2_client &transport) : client_{transport} {}

    [[nodiscard]] base::result<http::response> call(std::string_view address, const http::request &message,
                                                    const http::call_options &options) override {
        return client_.call(address, message, options.timeout);
    }

    [[nodiscard]] base::result<http::response> stream(std::string_view address, const http::request &message,
                                                      const http::call_options &options,
                                                      const http::body_sink &sink) override {
        auto answer = client_.call(address, message, options.timeout);
        if (answer && answer.value().status == 200 && !sink(answer.value().body)) {
            answer.value().body.clear();
        }
        return answer;
    }

    [[nodiscard]] base::result<http::response> call_checked(std::string_view address, const http::request &message,
                                                            const http::call_options &options,
                                                            const http::final_check &check) override {
        if (!check()) {
            return base::fail(base::error_kind::refused, "authority_lost",
                              "the lease was lost; the order was not sent");
        }
        return client_.call(address, message, options.timeout);
    }

private:
    h2_client &client_;
};

} // namespace dotterelstack::transport
