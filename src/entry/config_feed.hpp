#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.hpp"
#include "config/config_tracker.hpp"
#include "entry/events.hpp"
#include "entry/peer_port.hpp"
#include "store/object_store.hpp"
#include "transport/h2_client.hpp"

namespace dotterelstack::entry {

/** @brief Watches the configuration in the store, and asks peers for it while the store is unreachable. One thread. */
class config_feed {
public:
    /** @brief The other entries known now. */
    using peer_source = std::function<std::vector<peer_entry>()>;

    config_feed(const base::clock &time, store::object_store &store, transport::h2_client &client, event_ring &events,
                peer_source peers);
    config_feed(const config_feed &) = delete;
    config_feed &operator=(const config_feed &) = delete;
    config_feed(config_feed &&) = delete;
    config_feed &operator=(config_feed &&) = delete;
    ~config_feed();

    void start();
    void stop();

    /** @return Body for a peer's `GET /config?since=N`. */
    [[nodiscard]] std::string answer_peer(std::optional<std::uint64_t> since) const;

    /** @return True while the last call to the store succeeded. */
    [[nodiscard]] bool store_reachable() const noexcept { return store_reachable_; }

    /** @return Upper bound of the age of the configuration; nothing if unknown. */
    [[nodiscard]] std::optional<base::duration> age() const;

    /** @return Current version, 0 before the first. */
    [[nodiscard]] std::uint64_t version() const;

private:
    void run(const std::stop_token &token);
    [[nodiscard]] bool watch_store();
    void ask_peers();
    [[nodiscard]] bool ask_peer(const std::string &address);
    void handle(const config::tracker_actions &actions);
    void fetch(const config::fetch_snapshot &wanted);
    void publish_age();
    void send_withdrawals(const config::state_ptr &state);

    const base::clock &clock_;
    store::object_store &store_;
    transport::h2_client &client_;
    event_ring &events_;
    const peer_source peers_;
    mutable std::mutex mutex_;
    config::config_tracker tracker_;
    std::uint64_t revision_{0};
    // Kept when a part cannot be read, so that the next attempt goes on from there.
    std::uint64_t fetched_version_{0};
    std::vector<std::string> fetched_parts_;
    std::set<std::string, std::less<>> withdrawn_; /**< Hashes of withdrawn keys that were already sent to peers. */
    std::atomic<bool> store_reachable_{false};
    std::jthread thread_;
};

} // namespace dotterelstack::entry
