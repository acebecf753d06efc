#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/site_codec.hpp"
#include "gateway/traffic_config.hpp"
#include "http/client.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Holds the newest traffic configuration, from the store or from other gateways, and never goes back.
 *
 * While the store does not answer, the other gateways are asked: one that still reaches the store may know of a key
 * that has been withdrawn. Thread-safe.
 */
class config_source {
public:
    struct dependencies {
        const site_codec &codec;
        http::client &client;
        std::function<std::vector<std::string>()> peers; /**< Addresses of other gateways. */
        std::function<void(traffic_config_ptr)> on_config;
    };

    explicit config_source(dependencies with);

    /** @brief A stored object under the configuration's prefix was read. */
    void on_object(const store::object &item);

    /** @brief The store did not answer: asks other gateways. Blocks for a call or a few. */
    void ask_peers();

    /** @return Version held; 0 before the first. */
    [[nodiscard]] std::uint64_t version() const;

    /** @return Answer to another gateway's question. */
    [[nodiscard]] http::response answer_peer(const http::request &message) const;

private:
    void adopt(std::string_view value, std::string_view origin);

    dependencies deps_;
    mutable std::mutex mutex_;
    std::string value_; /**< As stored, for other gateways. */
    std::uint64_t version_{0};
    bool known_{false};
    std::size_t next_peer_{0};
};

} // namespace dotterelstack::gateway
