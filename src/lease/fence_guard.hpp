#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::lease {

/** @brief Fence found in the lease object by the read made for one order. */
struct fence_reading {
    std::uint64_t fence{0};
    base::instant asked{}; /**< When the read was sent, on the reader's clock. */
};

/** @brief Check of an admitted order immediately before its last byte is sent. Usable from any thread as
 * `http::final_check`. */
class fence_check {
public:
    fence_check(std::shared_ptr<const std::atomic<std::uint64_t>> highest, const base::clock &clock,
                fence_reading reading, base::duration margin)
        : highest_{std::move(highest)}, clock_{&clock}, reading_{reading}, margin_{margin} {}

    /** @return True while no higher fence has been seen and the lease read is younger than the margin. */
    [[nodiscard]] bool operator()() const noexcept {
        return highest_->load() == reading_.fence && clock_->now() - reading_.asked < margin_;
    }

private:
    std::shared_ptr<const std::atomic<std::uint64_t>> highest_;
    const base::clock *clock_;
    fence_reading reading_;
    base::duration margin_;
};

/**
 * @brief Validates fencing tokens in the agent. It stores only the highest fence seen, in memory. This is safe over
 * restarts because `admit` requires a new lease read for each order.
 */
class fence_guard {
public:
    /** @param margin Maximum age of a lease read when the last byte of an order is sent. */
    fence_guard(const base::clock &clock, base::duration margin);

    /** @brief Records a fence found elsewhere, for example in the order journal. */
    void observe(std::uint64_t fence) noexcept;

    /**
     * @brief Evaluates the result of a lease read.
     * @param lease The lease object, or nothing if it was absent.
     * @param asked When the read was sent.
     */
    [[nodiscard]] base::result<fence_reading> on_lease_read(const std::optional<store::object> &lease,
                                                            base::instant asked);

    /**
     * @brief Admits or refuses an order.
     * @param fence Fence carried by the order.
     * @param reading Lease read made after the order arrived.
     * @return The check to perform before the last byte is sent; `refused` when the fence is not the current one.
     */
    [[nodiscard]] base::result<fence_check> admit(std::uint64_t fence, const fence_reading &reading) const;

    [[nodiscard]] std::uint64_t highest() const noexcept { return highest_->load(); }

private:
    const base::clock &clock_;
    base::duration margin_;
    std::shared_ptr<std::atomic<std::uint64_t>> highest_;
};

} // namespace dotterelstack::lease
