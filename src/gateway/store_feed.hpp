#pragma once

#include <functional>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/** @brief Settings of a `store_feed`. */
struct feed_settings {
    base::duration watch_wait{std::chrono::milliseconds{1500}};
    base::duration retry_after{std::chrono::milliseconds{200}};
    base::duration pause_after_change{0}; /**< Batches changes that occur in quick succession. */
};

/** @brief Callbacks, called on the thread of a feed. */
struct feed_handlers {
    std::function<void(const std::vector<store::object> &all)> on_list; /**< All objects under the prefix. */
    /** Changes of one answer of the store, in order. */
    std::function<void(std::span<const store::watch_event> changes)> on_changes;
    std::function<void()> on_answered;                     /**< After each successful call to the store. */
    std::function<void(const base::error &why)> on_failed; /**< After each failed call; delays the next one. */
    std::function<base::duration()> longest_wait{};        /**< Upper limit of the next watch; optional. */
    std::function<void()> on_current{}; /**< All objects of the store have been handed over; optional. */
    /** Version of the store up to which its changes are known from elsewhere, 0 if none are; optional. */
    std::function<std::uint64_t()> known_version{};
};

/**
 * @brief Watches the objects under one prefix. Lists them first, and again when the store no longer has the history or
 * the changes since the last answer are larger than the objects themselves.
 *
 * What has to be read after a gap thus depends on the size of the objects, not on how often they have changed.
 * A failed call is repeated at once and without a wait at the store, since the cause may be the connection alone.
 */
class store_feed {
public:
    /** @param store Must outlive the feed. */
    store_feed(store::object_store &store, std::string prefix, feed_settings settings, feed_handlers handlers);
    store_feed(const store_feed &) = delete;
    store_feed &operator=(const store_feed &) = delete;
    ~store_feed();

    void start();
    void stop();

    /** @brief Requests the thread to stop after its current call; `stop` waits for it. */
    void request_stop() noexcept { thread_.request_stop(); }

    /** @brief Makes one call to the store. @return Delay before the next one. */
    [[nodiscard]] base::duration step();

private:
    void run(const std::stop_token &token);

    store::object_store &store_;
    const std::string prefix_;
    const feed_settings settings_;
    const feed_handlers handlers_;
    std::uint64_t since_{0};      /**< Revision to watch from; 0 requests a list. */
    std::size_t listed_bytes_{0}; /**< Size of the last list. */
    bool failed_{false};          /**< The last call failed. */
    std::jthread thread_;
};

} // namespace dotterelstack::gateway
