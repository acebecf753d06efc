#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/site_codec.hpp"
#include "http/client.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Tracks the discovery entries of backend servers.
 *
 * A gateway that starts while the store is unavailable takes the entries from another gateway. Single-threaded, except
 * for `answer_peer`.
 */
class server_source {
public:
    struct dependencies {
        const base::clock &time;
        const site_codec &codec;
        http::client &client;
        std::function<std::vector<std::string>()> peers; /**< Addresses of other gateways. */
        std::function<void(std::vector<backend_server>)> on_servers;
        std::function<std::uint64_t()> store_history{}; /**< See `store::object_store::history`; may be absent. */
    };

    explicit server_source(dependencies deps);

    void on_list(const std::vector<store::object> &all);

    /** @brief Applies changes and publishes the resulting list once: copying it for each change is quadratic. */
    void on_changes(std::span<const store::watch_event> changes);

    /** @brief Handles a successful call to the store. */
    void on_answered();

    /** @brief Handles a failed call to the store. Queries peers, and blocks meanwhile, until a list has been received.
     */
    void on_failed(store_failure how);

    /** @return Time until `on_answered` should be called again, at most `limit`. */
    [[nodiscard]] base::duration longest_wait(base::duration limit) const;

    /** @return Response to a query of another gateway. Thread-safe. */
    [[nodiscard]] http::response answer_peer() const;

private:
    [[nodiscard]] std::string_view id_of(const store::object &item) const;
    [[nodiscard]] std::optional<fleet_entry> to_entry(const store::object &item);
    void apply(const store::watch_event &change);
    void ask_peers();
    void publish();

    dependencies deps_;
    fleet_view fleet_;
    std::uint64_t history_{0};                        /**< Of the store, at the latest list. */
    std::map<std::string, std::uint64_t> unreadable_; /**< Revision of each unreadable entry, to log it only once. */
    mutable std::mutex mutex_;
    std::map<std::string, store::object> entries_; /**< As stored, for queries of other gateways. */
};

} // namespace dotterelstack::gateway
