#include "store/http_calls.hpp"

namespace dotterelstack::store {

base::result<http::response> call_read(http::client &client, std::string_view address, const std::string &target,
                                       const http_store_options &options, const watch_limits &limits) {
    http::call_options call;
    call.connect_timeout = options.connect_timeout;
    call.timeout = options.timeout + limits.wait;
    call.min_receive_rate = options.min_receive_rate;
    call.idle_timeout = options.timeout;
    call.body_limit = limits.bytes;
    auto answer = client.call(address, {"GET", target, {}, ""}, call);
    if (answer) {
        return answer;
    }
    auto cause = answer.error();
    if (cause.kind == base::error_kind::unknown_outcome) {
        cause.kind = base::error_kind::timeout;
    }
    return boost::outcome_v2::failure(std::move(cause));
}

base::result<http::response> call_write(http::client &client, std::string_view address, const http::request &message,
                                        const http_store_options &options) {
    http::call_options limits;
    limits.connect_timeout = options.connect_timeout;
    limits.timeout = options.timeout;
    return client.call(address, message, limits);
}

base::error bad_answer(base::error_kind kind, const std::string &what) {
    return {kind, "bad_store_answer", "the store sent " + what + "; check that the address names the object store"};
}

} // namespace dotterelstack::store
