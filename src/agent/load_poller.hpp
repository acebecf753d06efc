#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "agent/options.hpp"
#include "http/client.hpp"

namespace dotterelstack::agent {

/** @brief Condition of one backend server at the last poll. */
struct backend_condition {
    bool reachable{false};
    std::uint64_t report_seq{0};
    std::uint64_t running{0};
    std::uint64_t queued{0};
    std::uint64_t free_blocks{0};
    std::uint64_t total_blocks{0};
    std::uint64_t age_ms{0};
    std::string role{"mixed"};
    bool changing{false}; /**< A change of role or model is in progress. */
};

/** @brief Polls the load and state of every backend server periodically on a dedicated thread. */
class load_poller {
public:
    load_poller(const agent_options &options, http::client &client);
    load_poller(const load_poller &) = delete;
    load_poller &operator=(const load_poller &) = delete;
    load_poller(load_poller &&) = delete;
    load_poller &operator=(load_poller &&) = delete;
    ~load_poller();

    /**
     * @brief Polls every backend server once, then starts the thread.
     * @param on_round Called on the polling thread after each round.
     */
    void start(std::function<void()> on_round);
    void stop();

    [[nodiscard]] backend_condition condition(const std::string &backend) const;

private:
    void poll_all();
    [[nodiscard]] backend_condition poll(const backend_options &backend);

    const agent_options &options_;
    http::client &client_;
    mutable std::mutex mutex_;
    std::map<std::string, backend_condition> conditions_;
    std::jthread thread_;
};

} // namespace dotterelstack::agent
