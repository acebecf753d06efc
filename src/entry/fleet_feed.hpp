#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.hpp"
#include "config/config_state.hpp"
#include "entry/events.hpp"
#include "entry/peer_port.hpp"
#include "http/client.hpp"
#include "transport/h2_client.hpp"

namespace dotterelstack::entry {

/** @brief One row of the platform's host list. */
struct listed_host {
    std::string host;
    std::string role;
    std::string address;
    std::string failure_domain;
    bool leaving{false};
};

/** @brief Polls the host list and the status of every agent on one thread. */
class fleet_feed {
public:
    struct options {
        std::string platform; /**< Address of the host list. */
        std::string self;     /**< Address of this entry's listener for peers; excluded from `peers`. */
        std::vector<std::string> static_peers;
        base::duration interval{std::chrono::seconds{1}};
    };

    fleet_feed(options values, const base::clock &time, http::client &client, transport::h2_client &agents,
               event_ring &events);
    fleet_feed(const fleet_feed &) = delete;
    fleet_feed &operator=(const fleet_feed &) = delete;
    fleet_feed(fleet_feed &&) = delete;
    fleet_feed &operator=(fleet_feed &&) = delete;
    ~fleet_feed();

    void start();
    void stop();

    /** @return Addresses of the other entries. */
    [[nodiscard]] std::vector<std::string> peers() const;

    /** @return The other entries and what is known about them. */
    [[nodiscard]] std::vector<peer_entry> entries() const;

    /** @return True once the host list has been read. */
    [[nodiscard]] bool list_known() const noexcept { return list_known_; }

    /** @return Hosts of the last list that was read. */
    [[nodiscard]] std::vector<listed_host> hosts() const;

    /** @return Backend servers as last published. */
    [[nodiscard]] std::vector<backend_status> backends() const;

    /** @brief Sets the current configuration; backend servers with a planned change count as leaving at once. */
    void set_config(config::state_ptr state);

private:
    struct agent_view {
        base::instant answered{};
        std::vector<backend_status> backends;
    };

    void run(const std::stop_token &token);
    void read_hosts();
    void read_agents();
    void publish();
    [[nodiscard]] bool planned_to_leave(const listed_host &host, const std::string &backend) const;
    void apply_status(const listed_host &host, std::string_view body, base::instant asked);

    const options options_;
    const base::clock &clock_;
    http::client &client_;
    transport::h2_client &agents_;
    event_ring &events_;
    mutable std::mutex mutex_;
    std::vector<listed_host> hosts_;
    std::atomic<bool> list_known_{false};
    config::state_ptr config_;
    std::map<std::string, agent_view> views_; /**< By host. */
    std::vector<backend_status> published_;
    std::jthread thread_;
};

} // namespace dotterelstack::entry
