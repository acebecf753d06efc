#include "gateway/peer_call.hpp"

#include <chrono>

namespace dotterelstack::gateway {

namespace internal {

// Timeout of a call to a peer, so that an unresponsive peer does not delay the next call.
constexpr auto peer_timeout = std::chrono::milliseconds{300};

} // namespace internal

std::optional<std::string> ask_peer(http::client &client, std::string_view address, std::string target) {
    http::call_options options;
    options.connect_timeout = internal::peer_timeout;
    options.timeout = internal::peer_timeout;
    // Peers are asked so rarely that a kept connection may have gone silent unnoticed.
    options.fresh_connection = true;
    auto answer = client.call(address, {"GET", std::move(target), {}, ""}, options);
    if (!answer || answer.value().status != 200) {
        return std::nullopt;
    }
    return std::move(answer.value().body);
}

} // namespace dotterelstack::gateway
