#include "lease/lease_state_machine.hpp"

#include <algorithm>

#include "store/settled_write.hpp"

namespace dotterelstack::lease {

lease_state_machine::lease_state_machine(const base::clock &clock, lease_settings settings)
    : clock_{clock}, settings_{std::move(settings)}, authority_{std::make_shared<internal::authority_state>()} {}

bool lease_state_machine::held() const noexcept {
    return authority().has_value();
}

std::optional<authority_check> lease_state_machine::authority() const {
    authority_check check{authority_, clock_, authority_->fence.load()};
    if (phase_ != phase::holding || !check()) {
        return std::nullopt;
    }
    return check;
}

void lease_state_machine::mark_lost() noexcept {
    authority_->valid_until = 0;
    phase_ = phase::candidate;
    read_needed_ = true;
}

base::duration lease_state_machine::takeover_delay() const {
    // A holder stops sending before it writes the release; only its last send may still be in transit.
    if (observed_->released) {
        return settings_.send_timeout;
    }
    return full_term();
}

base::duration lease_state_machine::full_term() const {
    return std::max(settings_.term, observed_ ? observed_->term : base::duration{0}) + settings_.margin +
           settings_.send_timeout;
}

base::instant lease_state_machine::takeover_at() const {
    return observed_ ? std::max(first_seen_ + takeover_delay(), unknown_holder_until_) : unknown_holder_until_;
}

lease_action lease_state_machine::write_record(lease_record record) {
    own_ = std::move(record);
    sent_at_ = clock_.now();
    auto value = to_json(own_);
    return {lease_step::write, lease_key(settings_.name), std::move(value), version_, {}};
}

lease_action lease_state_machine::next_as_candidate(base::instant now) {
    if (read_needed_ || now >= read_due_) {
        return {lease_step::read, lease_key(settings_.name), {}, 0, {}};
    }
    if (now >= takeover_at()) {
        return write_record({settings_.holder, 0, 0, settings_.term, false});
    }
    return {lease_step::wait, {}, {}, 0, std::min(read_due_, takeover_at())};
}

lease_action lease_state_machine::next_as_holder(base::instant now) {
    if (read_needed_) {
        return {lease_step::read, lease_key(settings_.name), {}, 0, {}};
    }
    if (now >= renew_due_) {
        auto record = own_;
        ++record.renewal;
        return write_record(std::move(record));
    }
    return {lease_step::wait, {}, {}, 0, renew_due_};
}

lease_action lease_state_machine::next() {
    const auto now = clock_.now();
    if (phase_ == phase::holding && !held()) {
        mark_lost();
    }
    if (now < retry_due_) {
        return {lease_step::wait, {}, {}, 0, retry_due_};
    }
    switch (phase_) {
    case phase::candidate:
        return next_as_candidate(now);
    case phase::holding:
        return next_as_holder(now);
    case phase::releasing: {
        if (read_needed_) {
            return {lease_step::read, lease_key(settings_.name), {}, 0, {}};
        }
        auto record = own_;
        record.released = true;
        return write_record(std::move(record));
    }
    case phase::stopped:
        break;
    }
    return {lease_step::wait, {}, {}, 0, base::instant::max()};
}

void lease_state_machine::on_read(const base::result<std::optional<store::object>> &found, std::uint64_t history) {
    const auto now = clock_.now();
    read_due_ = now + settings_.standby_read_every;
    // Versions only increase, so an object with a lower version comes from a stale read and is ignored.
    if (!found || (found.value() && found.value()->version < version_)) {
        retry_due_ = now + settings_.retry_after;
        return;
    }
    std::optional<lease_record> record;
    if (found.value()) {
        auto parsed = parse_lease(*found.value());
        if (!parsed) {
            return;
        }
        record = parsed.value();
    }
    const auto version = found.value() ? found.value()->version : store::absent;
    if (version != version_ || !observed_) {
        first_seen_ = now;
    }
    version_ = version;
    observed_ = record;
    if (history != history_) {
        history_ = history;
        unknown_holder_until_ = now + full_term();
    }
    read_needed_ = false;
    const bool ours = record && record->holder == settings_.holder && record->fence == own_.fence && !record->released;
    if (phase_ == phase::releasing) {
        phase_ = ours ? phase::releasing : phase::stopped;
        return;
    }
    if (phase_ != phase::holding) {
        return;
    }
    if (ours) {
        own_ = *record;
    } else {
        mark_lost();
        read_needed_ = false;
    }
}

void lease_state_machine::on_written(const base::result<std::uint64_t> &written) {
    if (phase_ == phase::stopped) {
        return;
    }
    if (!written) {
        read_needed_ = true;
        retry_due_ = clock_.now() + settings_.retry_after;
        return;
    }
    version_ = written.value();
    if (phase_ == phase::releasing) {
        phase_ = phase::stopped;
        return;
    }
    if (phase_ == phase::candidate) {
        own_.fence = version_;
        authority_->fence = version_;
        phase_ = phase::holding;
    }
    observed_ = own_;
    first_seen_ = clock_.now();
    authority_->valid_until = (sent_at_ + settings_.term).time_since_epoch().count();
    renew_due_ = sent_at_ + settings_.renew_every;
}

void lease_state_machine::release() {
    authority_->valid_until = 0;
    retry_due_ = base::instant{};
    phase_ = phase_ == phase::holding ? phase::releasing : phase::stopped;
}

lease_action drive_lease(lease_state_machine &lease_state, store::object_store &store, base::id_source &ids) {
    auto action = lease_state.next();
    if (action.step == lease_step::read) {
        const auto found = store.get(action.key);
        lease_state.on_read(found, store.history());
    } else if (action.step == lease_step::write) {
        lease_state.on_written(store::settled_write(store, ids, action.key, action.value, action.expected));
    }
    return action;
}

} // namespace dotterelstack::lease
