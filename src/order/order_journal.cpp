#include "order/order_journal.hpp"

#include "store/settled_write.hpp"

namespace dotterelstack::order {

order_journal::order_journal(const base::clock &clock, std::string key, journal_settings settings)
    : clock_{clock}, key_{std::move(key)}, settings_{settings} {}

base::result<void> order_journal::begin(order item) {
    if (queued_ || open()) {
        return base::fail(base::error_kind::conflict, "order_open",
                          "order " + (queued_ ? queued_->id : entry_->item.id) + " for " + key_ +
                              " is not settled; wait for its end");
    }
    queued_ = std::move(item);
    return base::success();
}

void order_journal::set_fence(std::optional<std::uint64_t> fence) {
    if (fence != fence_) {
        if (fence_ && queued_) {
            // The order was decided under an earlier fence; another holder may have decided otherwise since.
            results_.push_back({std::move(*queued_), order_result::ending::dropped});
            queued_.reset();
        }
        fence_ = fence;
        read_needed_ = true;
        unsaved_.reset();
        next_attempt_ = base::instant{};
    }
}

journal_action order_journal::write(journal_entry entry) {
    journal_action out{journal_step::write, to_json(entry), version_, {}, 0, {}};
    writing_ = std::move(entry);
    return out;
}

journal_action order_journal::next_for_open(base::instant now) {
    if (entry_->fence < *fence_) {
        auto taken = *entry_;
        taken.fence = *fence_;
        return write(std::move(taken));
    }
    if (unsaved_) {
        return write(*unsaved_);
    }
    if (now < next_attempt_) {
        return {journal_step::wait, {}, 0, {}, 0, next_attempt_};
    }
    return {journal_step::send, {}, 0, entry_->item, *fence_, {}};
}

journal_action order_journal::next() {
    const auto now = clock_.now();
    if (!fence_ || (!queued_ && !open() && !read_needed_)) {
        return {};
    }
    if (read_needed_) {
        return now < next_attempt_ ? journal_action{journal_step::wait, {}, 0, {}, 0, next_attempt_}
                                   : journal_action{journal_step::read, {}, 0, {}, 0, {}};
    }
    if (entry_ && entry_->fence > *fence_) {
        // A planner with a higher fence uses the journal; this process does nothing more under its own fence.
        return {};
    }
    if (open()) {
        return next_for_open(now);
    }
    return write({*queued_, *fence_, entry_state::intended, false});
}

void order_journal::on_read(const base::result<std::optional<store::object>> &found) {
    const auto retry = [this] { next_attempt_ = clock_.now() + settings_.retry_after; };
    if (!found) {
        retry();
        return;
    }
    const auto &item = found.value();
    const auto version = item ? item->version : store::absent;
    std::optional<journal_entry> entry;
    if (item) {
        auto parsed = parse_entry(*item);
        if (!parsed) {
            retry();
            return;
        }
        entry = std::move(parsed.value());
    }
    if (version < version_) {
        // Versions only increase, so this read is stale.
        retry();
        return;
    }
    version_ = version;
    entry_ = std::move(entry);
    read_needed_ = false;
    resolve_queued();
}

void order_journal::resolve_queued() {
    if (!queued_ || !entry_) {
        return;
    }
    if (entry_->item.id == queued_->id) {
        queued_.reset();
        if (!open()) {
            report_settled();
        }
    } else if (open()) {
        results_.push_back({std::move(*queued_), order_result::ending::dropped});
        queued_.reset();
    }
}

void order_journal::report_settled() {
    results_.push_back({entry_->item, entry_->failed ? order_result::ending::failed : order_result::ending::done});
}

void order_journal::on_written(const base::result<std::uint64_t> &written) {
    const auto entry = std::exchange(writing_, std::nullopt);
    if (!written || !entry) {
        read_needed_ = true;
        if (!written && written.error().kind != base::error_kind::conflict) {
            next_attempt_ = clock_.now() + settings_.retry_after;
        }
        return;
    }
    version_ = written.value();
    entry_ = entry;
    if (queued_ && queued_->id == entry_->item.id) {
        queued_.reset();
    }
    if (unsaved_) {
        next_attempt_ = clock_.now() + settings_.poll_every;
        unsaved_.reset();
    } else {
        next_attempt_ = base::instant{};
    }
    if (!open()) {
        report_settled();
    }
}

void order_journal::on_sent(const base::result<order_progress> &progress) {
    if (!open()) {
        return;
    }
    if (!progress) {
        next_attempt_ = clock_.now() + settings_.retry_after;
        return;
    }
    auto entry = *entry_;
    if (progress.value() == order_progress::accepted) {
        next_attempt_ = clock_.now() + settings_.poll_every;
        entry.state = entry_state::sent;
        if (entry_->state == entry_state::sent) {
            return;
        }
    } else {
        entry.state = entry_state::settled;
        entry.failed = progress.value() == order_progress::failed;
    }
    unsaved_ = std::move(entry);
}

std::vector<order_result> order_journal::take_results() {
    return std::exchange(results_, {});
}

journal_action drive_journal(order_journal &journal, store::object_store &store, base::id_source &ids,
                             order_sender &sender, const std::optional<lease::authority_check> &authority) {
    const bool valid = authority && (*authority)();
    journal.set_fence(valid ? std::optional{authority->fence()} : std::nullopt);
    auto action = journal.next();
    switch (action.step) {
    case journal_step::read:
        journal.on_read(store.get(journal.key()));
        break;
    case journal_step::write:
        journal.on_written(store::settled_write(store, ids, journal.key(), action.value, action.expected));
        break;
    case journal_step::send:
        journal.on_sent(sender.send(action.item, action.fence, *authority));
        break;
    case journal_step::idle:
    case journal_step::wait:
        break;
    }
    return action;
}

} // namespace dotterelstack::order
