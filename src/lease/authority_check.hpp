#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "base/clock.hpp"

namespace dotterelstack::lease {

namespace internal {

/**
 * @brief State shared by a `lease_state_machine` and its checks. The state machine clears `valid_until` before it
 * stores another fence.
 */
struct authority_state {
    std::atomic<std::uint64_t> fence{0};
    std::atomic<base::duration::rep> valid_until{0}; /**< Nanoseconds on the boot-time clock; 0 when not held. */
};

} // namespace internal

/** @brief Tells, from any thread, whether the lease is still held under a fence. Usable as `http::final_check`. */
class authority_check {
public:
    /**
     * @param state State shared with the `lease_state_machine`.
     * @param clock Must outlive the check.
     * @param fence Fence under which the order is issued.
     */
    authority_check(std::shared_ptr<const internal::authority_state> state, const base::clock &clock,
                    std::uint64_t fence)
        : state_{std::move(state)}, clock_{&clock}, fence_{fence} {}

    /** @return True while the lease may be relied upon. */
    [[nodiscard]] bool operator()() const noexcept {
        // The order of the two loads matters: if the fence is unchanged after the deadline was read, the deadline does
        // not belong to a later acquisition.
        const base::instant until{base::duration{state_->valid_until.load()}};
        return state_->fence.load() == fence_ && clock_->now() < until;
    }

    [[nodiscard]] std::uint64_t fence() const noexcept { return fence_; }

private:
    std::shared_ptr<const internal::authority_state> state_;
    const base::clock *clock_;
    std::uint64_t fence_;
};

} // namespace dotterelstack::lease
