#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::lease {

/** @brief The fence found in the lease object by a read made for one order. */
struct fence_reading {
    std::uint64_t fence{0};
    base::instant asked{}; /**< When the read was sent, on the reader's clock. */
};

/** @brief Last check of one admitted order, from any thread. Usable as `http::final_check`. */
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
 * @brief The agent's rule for fencing tokens. It keeps only the highest fence seen, in memory; after a restart it
 * admits nothing until a lease read has been made, because `admit` requires one for each order.
 */
class fence_guard {
public:
    /** @param margin Longest age of a lease read when the last byte of an order goes out. */
    fence_guard(const base::clock &clock, base::duration margin);

    /** @brief Records a fence seen elsewhere, for example in the order journal. */
    void observe(std::uint64_t fence) noexcept;

    /**
     * @brief Evaluates a lease read.
     * @param lease The lease object, or nothing if it was absent.
     * @param asked When the read was sent.
     */
    [[nodiscard]] base::result<fence_reading> on_lease_read(const std::optional<store::object> &lease,
                                                            base::instant asked);

    /**
     * @brief Decides on one order.
     * @param fence Fence carried by the order.
     * @param reading Lease read made after the order arrived.
     * @return The check to repeat before the last byte; `refused` when the fence is not the current one.
     */
    [[nodiscard]] base::result<fence_check> admit(std::uint64_t fence, const fence_reading &reading) const;

    [[nodiscard]] std::uint64_t highest() const noexcept { return highest_->load(); }

private:
    const base::clock &clock_;
    base::duration margin_;
    std::shared_ptr<std::atomic<std::uint64_t>> highest_;
};

} // namespace dotterelstack::lease
