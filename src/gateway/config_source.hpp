#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "gateway/site_codec.hpp"
#include "gateway/traffic_config.hpp"
#include "http/client.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Holds the newest traffic configuration, from the store or from other gateways; never reverts to an older one.
 *
 * While the store does not answer, other gateways are queried: one that still reaches the store may know that a key has
 * been revoked. Thread-safe, except for `ask_peers`, which one thread calls.
 */
class config_source {
public:
    struct dependencies {
        const base::clock &time;
        const site_codec &codec;
        http::client &client;
        std::function<std::vector<std::string>()> peers; /**< Addresses of other gateways. */
        std::function<void(traffic_config_ptr)> on_config;
    };

    explicit config_source(dependencies deps);

    /**
     * @brief Handles a stored object under the configuration's prefix.
     * @return True if it is the configuration and can be read.
     */
    bool on_object(const store::object &item);

    /**
     * @brief The store has shown that no configuration is newer than those handled. This confirms the one in force
     * unless the newest one cannot be read.
     */
    void on_store_answer();

    /** @return Time since the store, or a peer on behalf of it, has shown that; nothing before it has. */
    [[nodiscard]] std::optional<base::duration> confirmation_age() const;

    /** @return True if the store, or a peer on behalf of it, has shown that lately. @param limit Greatest age. */
    [[nodiscard]] bool confirmed_within(base::duration limit) const;

    /** @brief Queries other gateways. Blocks for up to three calls. */
    void ask_peers();

    /** @return Current version; 0 before the first configuration. */
    [[nodiscard]] std::uint64_t version() const;

    /**
     * @return Version of the store up to which no change is newer than the configuration in force, as far as this
     * gateway or a peer has read them; 0 if unknown.
     */
    [[nodiscard]] std::uint64_t store_version() const;

    /** @return Response to a query of another gateway. */
    [[nodiscard]] http::response answer_peer(const http::request &message) const;

private:
    /** @return True if this version or a newer one is in force now. */
    bool adopt(std::string_view value, std::string_view origin);
    void confirm(base::instant as_of);
    /** @brief No change up to this version of the store is newer than the configuration in force. */
    void cover(std::uint64_t store_version);

    dependencies deps_;
    mutable std::mutex mutex_;
    std::string value_; /**< Encoded as in the store, for queries of other gateways. */
    std::uint64_t version_{0};
    bool known_{false};
    std::uint64_t newest_object_{0}; /**< Store version of the newest configuration, whether it can be read or not. */
    bool newest_readable_{true};
    std::uint64_t covered_{0}; /**< See `store_version`. */
    std::optional<base::instant> confirmed_at_;
    std::size_t next_peer_{0};
};

} // namespace dotterelstack::gateway
