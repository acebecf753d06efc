#pragma once

#include <string>
#include <string_view>

#include "base/error.hpp"
#include "gateway/request_facts.hpp"
#include "http/answer_owner.hpp"
#include "http/message.hpp"

namespace dotterelstack::gateway {

/** @brief Decodes and encodes the messages of callers and backend servers. Stateless and thread-safe. */
class backend_protocol {
public:
    backend_protocol() = default;
    backend_protocol(const backend_protocol &) = delete;
    backend_protocol &operator=(const backend_protocol &) = delete;
    virtual ~backend_protocol() = default;

    /** @return The request, or `invalid_argument` when it is malformed. */
    [[nodiscard]] virtual base::result<exchange_request> decode_request(http::request message) const = 0;

    /** @return The message to send for one attempt. */
    [[nodiscard]] virtual http::request encode_attempt(const exchange_request &request,
                                                       const attempt_facts &attempt) const = 0;

    /** @param sent Id of the request that was sent. */
    [[nodiscard]] virtual answer_head decode_head(int status, const http::field_list &fields,
                                                  std::string_view sent) const = 0;

    /** @return To which request an answer belongs, given the message that was sent. */
    [[nodiscard]] virtual http::answer_owner owner_of(const http::request &sent,
                                                      const http::field_list &answer) const = 0;

    /** @return Handle of the prefilled KV state, from the body of a prefill answer. */
    [[nodiscard]] virtual base::result<std::string> decode_handle(std::string_view body) const = 0;

    /** @return Value of `attempt_facts::state_source`. */
    [[nodiscard]] virtual std::string state_source(std::string_view address, std::string_view handle) const = 0;

    /** @return Message that any engine answers at once, without a place. */
    [[nodiscard]] virtual http::request state_query() const = 0;

    /** @return Message that frees unused prefilled state. */
    [[nodiscard]] virtual http::request release_handle(std::string_view handle) const = 0;
};

} // namespace dotterelstack::gateway
