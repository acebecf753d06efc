#include "entry/floor_borrower.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "log/event.hpp"

namespace dotterelstack::entry {

namespace internal {

/** Amounts to borrow. Demands for rates follow their use, which grows from a floor; a borrower has none, so it asks for
 * the whole rate limits. */
limits::share_amounts loan_wanted(const limits::share_amounts &limit, const limits::row_use &use) {
    if (!limits::any_nonzero(use.wanted)) {
        return {};
    }
    auto out = limit;
    constexpr auto concurrency = static_cast<std::size_t>(limits::resource::concurrency);
    out[concurrency] = use.wanted[concurrency];
    return out;
}

} // namespace internal

floor_borrower::floor_borrower(const base::clock &time, std::string entry, base::duration lender_timeout)
    : time_{time}, entry_{std::move(entry)}, lender_timeout_{lender_timeout} {}

bool floor_borrower::needs_lender() const {
    return !loans_ || time_.now() >= lender_expires_;
}

bool floor_borrower::choose_lender(std::vector<peer_entry> peers) {
    std::erase_if(peers, [](const peer_entry &it) { return !it.live; });
    if (peers.empty()) {
        return false;
    }
    ++term_;
    // Entries that start at the same time begin with different lenders.
    const auto first = std::hash<std::string>{}(entry_);
    lender_ = peers[(first + term_) % peers.size()].address;
    lender_expires_ = time_.now() + lender_timeout_;
    loans_.emplace(time_, entry_);
    loans_->set_epoch({limits::floor_loan_epoch, {}, {}});
    log::write("floor_lender_chosen", {{"peer", lender_}, {"term", term_}});
    return true;
}

void floor_borrower::stop() {
    loans_.reset();
    lender_.clear();
}

void floor_borrower::set_limit(limits::row_key row, const limits::share_amounts &limit) {
    if (loans_) {
        loans_->set_limit(row, limit);
    }
}

std::optional<limits::share_demand> floor_borrower::demand(limits::row_key row, const limits::share_amounts &limit,
                                                           const limits::row_use &use) {
    return loans_ ? loans_->demand(row, internal::loan_wanted(limit, use), use.in_use) : std::nullopt;
}

bool floor_borrower::apply(std::uint64_t term, limits::row_key row, const limits::share_grant &grant) {
    if (!loans_ || term != term_ || !loans_->apply(row, grant)) {
        return false;
    }
    if (limits::any_nonzero(grant.lent)) {
        lender_expires_ = time_.now() + lender_timeout_;
    }
    return true;
}

limits::share_amounts floor_borrower::allowance(limits::row_key row) const {
    return loans_ ? loans_->allowance(row) : limits::share_amounts{};
}

} // namespace dotterelstack::entry
