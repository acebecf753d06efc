#include "gateway/peer_call.hpp"

#include <chrono>
#include <cstddef>

namespace dotterelstack::gateway {

namespace internal {

// Timeout of a call to a peer, so that an unresponsive peer does not delay the next call.
constexpr auto peer_timeout = std::chrono::milliseconds{300};
// Lowest rate of a response that is waited for, in bytes a second; another peer may be reached through a better link.
constexpr std::size_t peer_receive_rate = std::size_t{128} << 10U;

} // namespace internal

base::result<http::response> query_peer(http::client &client, std::string_view address, std::string target) {
    http::call_options options;
    options.connect_timeout = internal::peer_timeout;
    options.timeout = internal::peer_timeout;
    options.min_receive_rate = internal::peer_receive_rate;
    options.idle_timeout = internal::peer_timeout;
    // Peers are asked so rarely that a kept connection may have gone silent unnoticed.
    options.fresh_connection = true;
    return client.call(address, {"GET", std::move(target), {}, ""}, options);
}

std::optional<std::string> ask_peer(http::client &client, std::string_view address, std::string target) {
    auto answer = query_peer(client, address, std::move(target));
    return answer && answer.value().status == 200 ? std::optional{std::move(answer.value().body)} : std::nullopt;
}

} // namespace dotterelstack::gateway
