#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <limits>
#include <mutex>
#include <optional>
#include <utility>

#include "base/clock.hpp"

namespace dotterelstack::base {

/**
 * @brief Bounded queue between two threads. The owner decides what a full ring means: refuse
 * (`try_push`), wait (`push`) or drop the oldest (`push_evict`).
 * @tparam Type Element type, movable.
 */
template<typename Type>
class bounded_ring {
public:
    /**
     * @param limit Largest number of waiting elements, at least one.
     * @param weight_limit Weight of waiting elements from which on `push` waits.
     */
    explicit bounded_ring(std::size_t limit, std::size_t weight_limit = std::numeric_limits<std::size_t>::max())
        : limit_{limit}, weight_limit_{weight_limit} {}

    /** @return False when the ring is full or closed; the element is then dropped. */
    [[nodiscard]] bool try_push(Type value) {
        const std::scoped_lock lock{mutex_};
        if (closed_ || items_.size() >= limit_) {
            return false;
        }
        items_.push_back({std::move(value), 0});
        readable_.notify_one();
        return true;
    }

    /** @brief Waits for room. @param weight For example the bytes that the element holds. @return False when the ring
     * was closed. */
    bool push(Type value, std::size_t weight = 0) {
        std::unique_lock lock{mutex_};
        writable_.wait(lock, [this] { return closed_ || (items_.size() < limit_ && weight_ < weight_limit_); });
        if (closed_) {
            return false;
        }
        weight_ += weight;
        items_.push_back({std::move(value), weight});
        readable_.notify_one();
        return true;
    }

    /** @brief Makes room by dropping the oldest element. @return Number of dropped elements. */
    std::size_t push_evict(Type value) {
        const std::scoped_lock lock{mutex_};
        std::size_t dropped = 0;
        if (closed_) {
            return 1;
        }
        if (items_.size() >= limit_) {
            weight_ -= items_.front().weight;
            items_.pop_front();
            dropped = 1;
        }
        items_.push_back({std::move(value), 0});
        readable_.notify_one();
        return dropped;
    }

    /** @brief Waits for an element. @return Nothing when the ring is closed and empty. */
    [[nodiscard]] std::optional<Type> pop() {
        std::unique_lock lock{mutex_};
        readable_.wait(lock, [this] { return closed_ || !items_.empty(); });
        return take_front();
    }

    /** @brief Waits at most `wait`. @return Nothing on timeout or when closed and empty. */
    [[nodiscard]] std::optional<Type> pop_for(duration wait) {
        std::unique_lock lock{mutex_};
        readable_.wait_for(lock, wait, [this] { return closed_ || !items_.empty(); });
        return take_front();
    }

    /** @brief Wakes all waiters; elements already queued can still be popped. */
    void close() {
        const std::scoped_lock lock{mutex_};
        closed_ = true;
        readable_.notify_all();
        writable_.notify_all();
    }

    [[nodiscard]] bool closed() const {
        const std::scoped_lock lock{mutex_};
        return closed_;
    }

    [[nodiscard]] std::size_t size() const {
        const std::scoped_lock lock{mutex_};
        return items_.size();
    }

private:
    std::optional<Type> take_front() {
        if (items_.empty()) {
            return std::nullopt;
        }
        std::optional<Type> value{std::move(items_.front().value)};
        weight_ -= items_.front().weight;
        items_.pop_front();
        writable_.notify_one();
        return value;
    }

    struct element {
        Type value;
        std::size_t weight{0};
    };

    const std::size_t limit_;
    const std::size_t weight_limit_;
    std::size_t weight_{0}; /**< Of all waiting elements. */
    mutable std::mutex mutex_;
    std::condition_variable readable_;
    std::condition_variable writable_;
    std::deque<element> items_;
    bool closed_{false};
};

} // namespace dotterelstack::base
