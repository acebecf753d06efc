#pragma once

#include <atomic>
#include <cstddef>
#include <limits>

namespace dotterelstack::base {

/** @brief Bytes that a process may buffer for others, over all messages. Thread-safe. */
class byte_budget {
public:
    explicit byte_budget(std::size_t limit = std::numeric_limits<std::size_t>::max()) noexcept : limit_{limit} {}
    byte_budget(const byte_budget &) = delete;
    byte_budget &operator=(const byte_budget &) = delete;

    /** @return False if they would exceed the limit; nothing is taken then. */
    [[nodiscard]] bool take(std::size_t n) noexcept {
        auto used = used_.load();
        do {
            if (n > limit_ - used) {
                return false;
            }
        } while (!used_.compare_exchange_weak(used, used + n));
        return true;
    }

    void give_back(std::size_t n) noexcept { used_ -= n; }

    [[nodiscard]] std::size_t used() const noexcept { return used_; }
    [[nodiscard]] std::size_t limit() const noexcept { return limit_; }

private:
    const std::size_t limit_;
    std::atomic<std::size_t> used_{0};
};

/**
 * @brief What one message has taken of a budget; given back at its end. Not thread-safe.
 *
 * The first bytes of each message are free, so that messages of usual size are never refused because of large ones.
 */
class byte_holding {
public:
    static constexpr std::size_t free_bytes = std::size_t{64} << 10U;

    /** @param from Budget, which must outlive this object; null for none. */
    explicit byte_holding(byte_budget *from = nullptr) noexcept : budget_{from} {}
    byte_holding(const byte_holding &) = delete;
    byte_holding &operator=(const byte_holding &) = delete;
    ~byte_holding() { reset(); }

    /** @brief Takes what a message of a size needs, or gives back the rest. @return False if the budget does not allow
     * it; nothing changes then. */
    [[nodiscard]] bool resize(std::size_t size) noexcept {
        const auto needed = size > free_bytes ? size - free_bytes : 0;
        if (budget_ == nullptr) {
            return true;
        }
        if (needed > taken_ && !budget_->take(needed - taken_)) {
            return false;
        }
        if (needed < taken_) {
            budget_->give_back(taken_ - needed);
        }
        taken_ = needed;
        return true;
    }

    /** @brief Gives everything back. */
    void reset() noexcept { (void)resize(0); }

private:
    byte_budget *budget_;
    std::size_t taken_{0};
};

} // namespace dotterelstack::base
