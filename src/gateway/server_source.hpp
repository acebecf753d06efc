#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
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
 * @brief Follows the discovery entries of backend servers.
 *
 * A gateway that starts while the store does not answer takes the entries that another gateway knows. All functions but
 * `answer_peer` are for one thread.
 */
class server_source {
public:
    struct dependencies {
        const base::clock &time;
        const site_codec &codec;
        http::client &client;
        std::function<std::vector<std::string>()> peers; /**< Addresses of other gateways. */
        std::function<void(std::vector<backend_server>)> on_servers;
    };

    explicit server_source(dependencies deps);

    void on_list(const std::vector<store::object> &all);
    void on_change(const store::watch_event &change);

    /** @brief The store answered a call. */
    void on_answered();

    /** @brief The store did not answer. Blocks for calls to peers as long as nothing is known. */
    void on_failed();

    /** @return Longest wait until `on_answered` should be called again, at most `limit`. */
    [[nodiscard]] base::duration longest_wait(base::duration limit) const;

    /** @return Answer to another gateway's question. Thread-safe. */
    [[nodiscard]] http::response answer_peer() const;

private:
    [[nodiscard]] std::optional<fleet_entry> to_entry(const store::object &item);
    void ask_peers();
    void publish();

    dependencies deps_;
    fleet_view fleet_;
    std::map<std::string, std::uint64_t> unreadable_; /**< Entries reported as unreadable, by revision. */
    mutable std::mutex mutex_;
    std::map<std::string, store::object> entries_; /**< As stored, for other gateways. */
};

} // namespace dotterelstack::gateway
