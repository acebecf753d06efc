#include "gateway/config_source.hpp"

#include <algorithm>
#include <charconv>

#include "gateway/peer_call.hpp"
#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Gateways queried per round. Three per round cover all gateways of a small site within a second.
constexpr std::size_t peers_per_round = 3;
constexpr const char *version_parameter = "since";

} // namespace internal

config_source::config_source(dependencies deps) : deps_{std::move(deps)} {}

void config_source::adopt(std::string_view value, std::string_view origin) {
    auto decoded = deps_.codec.decode_config(value);
    if (!decoded) {
        log::write("config_unreadable", {{"origin", origin}, {"reason", decoded.error().message}});
        return;
    }
    const auto version = decoded.value().version;
    traffic_config_ptr config;
    {
        const std::scoped_lock lock{mutex_};
        if (known_ && version <= version_) {
            return;
        }
        known_ = true;
        version_ = version;
        value_ = std::string{value};
        config = std::make_shared<const traffic_config>(std::move(decoded.value()));
    }
    log::write("config_adopted", {{"version", version}, {"origin", origin}});
    deps_.on_config(std::move(config));
}

void config_source::on_object(const store::object &item) {
    if (item.key == deps_.codec.config_key()) {
        adopt(item.value, "store");
    }
}

void config_source::ask_peers() {
    const auto peers = deps_.peers();
    const auto n = std::min(peers.size(), internal::peers_per_round);
    std::size_t newer = 0;
    for (std::size_t it = 0; it < n; ++it) {
        const auto &address = peers[next_peer_++ % peers.size()];
        std::string target{traffic_config_path};
        {
            const std::scoped_lock lock{mutex_};
            if (known_) {
                target += std::string{"?"} + internal::version_parameter + "=" + std::to_string(version_);
            }
        }
        if (const auto value = ask_peer(deps_.client, address, std::move(target))) {
            ++newer;
            adopt(*value, address);
        }
    }
    log::write("config_peers_asked", {{"asked", n}, {"newer", newer}});
}

std::uint64_t config_source::version() const {
    const std::scoped_lock lock{mutex_};
    return version_;
}

http::response config_source::answer_peer(const http::request &message) const {
    const http::field_list json{{"Content-Type", "application/json"}};
    const auto since = message.query_value(internal::version_parameter);
    std::uint64_t version = 0;
    if (since) {
        std::from_chars(since->data(), since->data() + since->size(), version);
    }
    const std::scoped_lock lock{mutex_};
    if (!known_ || (since && version >= version_)) {
        return {204, {}, ""};
    }
    return {200, json, value_};
}

} // namespace dotterelstack::gateway
