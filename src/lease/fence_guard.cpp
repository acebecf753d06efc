#include "lease/fence_guard.hpp"

#include "lease/lease_record.hpp"

namespace dotterelstack::lease {

fence_guard::fence_guard(const base::clock &clock, base::duration margin)
    : clock_{clock}, margin_{margin}, highest_{std::make_shared<std::atomic<std::uint64_t>>(0)} {}

void fence_guard::observe(std::uint64_t fence) noexcept {
    auto seen = highest_->load();
    while (seen < fence && !highest_->compare_exchange_weak(seen, fence)) {
    }
}

base::result<fence_reading> fence_guard::on_lease_read(const std::optional<store::object> &lease, base::instant asked) {
    if (!lease) {
        return base::fail(base::error_kind::refused, "no_lease", "no process holds the lease; acquire it first");
    }
    BOOST_OUTCOME_TRY(record, parse_lease(*lease));
    observe(record.fence);
    return fence_reading{record.fence, asked};
}

base::result<fence_check> fence_guard::admit(std::uint64_t fence, const fence_reading &reading) const {
    if (reading.fence < highest()) {
        return base::fail(base::error_kind::refused, "stale_lease_read",
                          "the store returned an older lease than seen before; send the order again");
    }
    if (fence != reading.fence) {
        return base::fail(base::error_kind::refused, "old_fence",
                          "the order's fence " + std::to_string(fence) + " is not the current " +
                              std::to_string(reading.fence) + "; its sender is no longer the holder");
    }
    const fence_check check{highest_, clock_, reading, margin_};
    if (!check()) {
        return base::fail(base::error_kind::refused, "lease_read_too_old",
                          "the lease read for this order is older than the margin; send the order again");
    }
    return check;
}

} // namespace dotterelstack::lease
