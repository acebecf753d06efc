#include "usage/usage_sealer.hpp"

#include <algorithm>

#include "store/settled_write.hpp"

namespace dotterelstack::usage {

usage_sealer::usage_sealer(const base::clock &clock, sealer_settings settings) : clock_{clock}, settings_{settings} {}

void usage_sealer::retry() noexcept {
    retry_due_ = clock_.now() + settings_.retry_after;
}

void usage_sealer::on_reported(std::uint64_t window) noexcept {
    reported_ = std::max(reported_, window);
}

base::instant usage_sealer::seal_time() const {
    const auto it = closed_since_.lower_bound(last_.window + 1);
    return it == closed_since_.end() ? base::instant::max() : it->second + settings_.grace;
}

bool usage_sealer::seal_due(base::instant now) const {
    return now >= seal_time();
}

sealer_action usage_sealer::write_open() {
    const bool first = open_version_ == store::absent;
    const open_window value{first ? 1 : open_.window + 1, std::max(open_.sealed, last_.window),
                            std::max(open_.reported, reported_)};
    writing_ = writing::open;
    return {sealer_step::write_open, open_window_key, to_json(value), open_version_, {}};
}

sealer_action usage_sealer::next() {
    const auto now = clock_.now();
    if (now < retry_due_) {
        return {sealer_step::wait, {}, {}, 0, retry_due_};
    }
    if (now >= read_due_) {
        return {sealer_step::read_open, open_window_key, {}, 0, {}};
    }
    if (open_version_ == store::absent) {
        return write_open();
    }
    if (searching_) {
        const auto window = last_known_ ? last_.window + 1 : std::max<std::uint64_t>(open_.sealed, 1);
        return {sealer_step::read_sealed, sealed_key(window), {}, 0, {}};
    }
    if (draft_) {
        writing_ = writing::sealed;
        return {sealer_step::write_sealed, sealed_key(draft_->window), to_json(*draft_), store::absent, {}};
    }
    if (!garbage_.empty()) {
        return {sealer_step::erase_batch, garbage_.back().key, {}, garbage_.back().version, {}};
    }
    if (seal_due(now)) {
        return {sealer_step::list_batches, std::string{batch_prefix}, {}, 0, {}};
    }
    if (now >= open_since_ + settings_.window_length) {
        return write_open();
    }
    const auto until = std::min({read_due_, open_since_ + settings_.window_length, seal_time()});
    return {sealer_step::wait, {}, {}, 0, until};
}

void usage_sealer::on_open(const base::result<std::optional<store::object>> &found) {
    if (!found) {
        retry();
        return;
    }
    const auto now = clock_.now();
    read_due_ = now + settings_.read_every;
    if (!found.value()) {
        return;
    }
    const auto parsed = parse_open(*found.value());
    if (!parsed || found.value()->version < open_version_) {
        retry();
        return;
    }
    if (parsed.value().window != open_.window || open_version_ == store::absent) {
        open_since_ = now;
        closed_since_.emplace(parsed.value().window - 1, now);
    }
    open_ = parsed.value();
    open_version_ = found.value()->version;
    searching_ = searching_ || open_.sealed > last_.window;
}

void usage_sealer::adopt(sealed_window sealed) {
    last_ = std::move(sealed);
    last_known_ = true;
    closed_since_.erase(closed_since_.begin(), closed_since_.upper_bound(last_.window));
    draft_.reset();
    for (auto &[item, batch] : batches_) {
        if (is_covered(batch, last_, settings_.keep_windows)) {
            garbage_.push_back(std::move(item));
        }
    }
    batches_.clear();
}

void usage_sealer::on_sealed(const base::result<std::optional<store::object>> &found) {
    if (!found) {
        retry();
        return;
    }
    if (!found.value()) {
        if (!last_known_ && open_.sealed > 0) {
            // A window that `open_window::sealed` names must exist, so this read is stale.
            retry();
            return;
        }
        last_known_ = true;
        searching_ = false;
        return;
    }
    auto parsed = parse_sealed(*found.value());
    if (!parsed) {
        retry();
        return;
    }
    adopt(std::move(parsed.value()));
}

void usage_sealer::on_batches(const base::result<std::vector<store::object>> &found) {
    if (!found) {
        retry();
        return;
    }
    batches_.clear();
    std::vector<usage_batch> parsed;
    for (const auto &it : found.value()) {
        auto batch = parse_batch(it);
        if (batch) {
            parsed.push_back(batch.value());
            batches_.emplace_back(it, std::move(batch.value()));
        }
    }
    draft_ = aggregate_window(last_.window + 1, last_.covered, parsed, settings_.keep_windows);
}

void usage_sealer::on_written(const base::result<std::uint64_t> &written) {
    const auto what = std::exchange(writing_, writing::none);
    if (!written && written.error().kind != base::error_kind::conflict) {
        retry();
    }
    if (what == writing::open) {
        // Whatever the outcome, the open window is read from the store again.
        read_due_ = clock_.now();
        return;
    }
    if (written && draft_) {
        adopt(std::move(*draft_));
        return;
    }
    // Another lease holder may have sealed the window with other figures, so the stored window is read and adopted. The
    // delay avoids a busy loop while stale reads do not show that window yet.
    retry();
    draft_.reset();
    searching_ = true;
}

void usage_sealer::on_erased(const base::result<void> &erased) {
    if (!erased && erased.error().kind != base::error_kind::conflict) {
        retry();
    }
    // A batch that could not be erased is listed again, and erased as covered, when the next window is sealed.
    garbage_.pop_back();
}

sealer_action drive_sealer(usage_sealer &sealer, store::object_store &store, base::id_source &ids,
                           const std::optional<lease::authority_check> &authority) {
    if (!authority || !(*authority)()) {
        return {};
    }
    auto action = sealer.next();
    switch (action.step) {
    case sealer_step::read_open:
        sealer.on_open(store.get(action.key));
        break;
    case sealer_step::read_sealed:
        sealer.on_sealed(store.get(action.key));
        break;
    case sealer_step::list_batches:
        sealer.on_batches(store.list(action.key));
        break;
    case sealer_step::write_open:
    case sealer_step::write_sealed:
        sealer.on_written(store::settled_write(store, ids, action.key, action.value, action.version));
        break;
    case sealer_step::erase_batch:
        sealer.on_erased(store.erase(action.key, action.version));
        break;
    case sealer_step::wait:
        break;
    }
    return action;
}

} // namespace dotterelstack::usage
