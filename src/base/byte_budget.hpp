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
            if (used > limit_ || n > limit_ - used) {
                return false;
            }
        } while (!used_.compare_exchange_weak(used, used + n));
        return true;
    }

    /** @brief Takes bytes that are held in any case, also beyond the limit. */
    void take_always(std::size_t n) noexcept { used_ += n; }

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
 * All bytes are counted. The first bytes of each message are never refused, so that messages of usual size get through
 * beside large ones.
 */
class byte_holding {
public:
    static constexpr std::size_t granted_bytes = std::size_t{8} << 10U;

    /** @param from Budget, which must outlive this object; null for none. */
    explicit byte_holding(byte_budget *from = nullptr) noexcept : budget_{from} {}
    byte_holding(const byte_holding &) = delete;
    byte_holding &operator=(const byte_holding &) = delete;
    ~byte_holding() { reset(); }

    /** @brief Takes what a message of a size needs, or gives back the rest. @return False if the budget does not allow
     * it; nothing changes then. */
    [[nodiscard]] bool resize(std::size_t size) noexcept {
        if (size <= granted_bytes) {
            hold(size);
            return true;
        }
        return try_resize(size);
    }

    /** @brief As `resize`, with nothing granted. */
    [[nodiscard]] bool try_resize(std::size_t size) noexcept {
        if (budget_ != nullptr && size > taken_ && !budget_->take(size - taken_)) {
            return false;
        }
        if (budget_ != nullptr && size < taken_) {
            budget_->give_back(taken_ - size);
        }
        taken_ = size;
        return true;
    }

    /** @brief Takes what a message of a size needs, also beyond the limit, or gives back the rest. */
    void hold(std::size_t size) noexcept {
        if (budget_ != nullptr && size > taken_) {
            budget_->take_always(size - taken_);
            taken_ = size;
        }
        (void)try_resize(size);
    }

    /** @brief Gives everything back. */
    void reset() noexcept { (void)try_resize(0); }

    [[nodiscard]] std::size_t taken() const noexcept { return taken_; }

private:
    byte_budget *budget_;
    std::size_t taken_{0};
};

} // namespace dotterelstack::base
