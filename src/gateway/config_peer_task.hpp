#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <stop_token>
#include <thread>

#include "base/clock.hpp"

namespace dotterelstack::gateway {

/** @brief Settings of a `config_peer_task`. */
struct config_peer_settings {
    base::duration overdue{}; /**< Time without an answer of the store; longer than the wait of a watch. */
    base::duration ask_every{std::chrono::milliseconds{300}};
};

/**
 * @brief Asks other gateways for the configuration while the store does not confirm it.
 *
 * Runs on a thread of its own, since a call to the store may hang while a peer already has a newer configuration.
 */
class config_peer_task {
public:
    /**
     * @param time Clock; must outlive the task.
     * @param ask Queries some of the peers; may block.
     */
    config_peer_task(config_peer_settings settings, const base::clock &time, std::function<void()> ask);
    config_peer_task(const config_peer_task &) = delete;
    config_peer_task &operator=(const config_peer_task &) = delete;
    ~config_peer_task();

    void start();
    void stop();

    /** @brief Requests the thread to stop after its current queries; `stop` waits for it. */
    void request_stop() noexcept { thread_.request_stop(); }

    /** @brief A call to the store for the configuration has ended. Callable from any thread. */
    void on_store_call(bool answered);

    /** @brief Asks peers if the last call failed, or an answer is overdue. @return Time until the next step. */
    [[nodiscard]] base::duration step();

private:
    void run(const std::stop_token &token);

    const config_peer_settings settings_;
    const base::clock &time_;
    const std::function<void()> ask_;
    std::mutex mutex_;
    std::condition_variable_any due_earlier_;
    base::instant asked_at_{}; /**< Start of the last round of queries. */
    base::instant ask_due_;    /**< Start of the next one, unless the store answers before. */
    std::jthread thread_;
};

} // namespace dotterelstack::gateway
