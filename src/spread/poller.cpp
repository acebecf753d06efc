#include "spread/poller.hpp"

#include <algorithm>

namespace dotterelstack::spread {

poller::poller(const base::clock &time, random_source random, poller_options options)
    : clock_{time}, random_{std::move(random)}, options_{options} {}

poller_actions poller::set_sources(std::vector<std::string> sources) {
    poller_actions out;
    sources_ = std::move(sources);
    const auto listed = [&](const auto &it) { return std::ranges::find(sources_, it.first) != sources_.end(); };
    std::erase_if(failed_, [&](const auto &it) { return !listed(it); });
    std::erase_if(cursors_, [&](const auto &it) { return !listed(it); });
    const auto count = std::min(options_.sources, sources_.size());
    for (std::size_t n = 0; n < slots_.size(); ++n) {
        auto &it = slots_[n];
        if (it.id != 0 && (n >= count || std::ranges::find(sources_, it.source) == sources_.end())) {
            out.emplace_back(abandon_poll{it.id, it.source});
            it = {};
        }
    }
    slots_.resize(count);
    for (std::size_t n = 0; n < count; ++n) {
        if (slots_[n].id == 0) {
            start(n, out);
        }
    }
    return out;
}

poller::slot *poller::find(std::uint64_t id) noexcept {
    const auto it = std::ranges::find(slots_, id, &slot::id);
    return id == 0 || it == slots_.end() ? nullptr : &*it;
}

std::string poller::choose(const slot &self) const {
    const auto now = clock_.now();
    const std::string *oldest = nullptr;
    base::instant oldest_failure = base::instant::max();
    for (const auto &it : sources_) {
        if (std::ranges::any_of(slots_, [&](const auto &other) { return &other != &self && other.source == it; })) {
            continue;
        }
        const auto failure = failed_.find(it);
        if (failure == failed_.end() || now - failure->second >= options_.penalty) {
            return it;
        }
        if (failure->second < oldest_failure) {
            oldest_failure = failure->second;
            oldest = &it;
        }
    }
    return oldest == nullptr ? std::string{} : *oldest;
}

void poller::start(std::size_t index, poller_actions &out) {
    auto &it = slots_[index];
    const auto now = clock_.now();
    auto source = choose(it);
    if (source.empty()) {
        it.due = now + options_.retry;
        return;
    }
    // The first poll to a source has no wait, so that a dead source is detected after the slack alone.
    const bool same = source == it.source;
    if (!same) {
        it.announced = 0;
    }
    const bool behind = it.announced > version_ || snapshot_wanted_;
    it.source = std::move(source);
    it.id = ++last_id_;
    it.full = index == 0 || behind;
    it.started = now;
    const auto wait = same && !behind ? options_.wait : base::duration{0};
    it.due = now + wait + options_.slack;
    const auto position = cursors_.find(it.source);
    const auto since = it.full && snapshot_wanted_ ? 0 : version_;
    out.emplace_back(
        start_poll{it.id, it.source, {since, position == cursors_.end() ? cursor{} : position->second, it.full, wait}});
}

void poller::fail(std::size_t index, poller_actions &out) {
    auto &it = slots_[index];
    failed_[it.source] = clock_.now();
    it.id = 0;
    if (++failures_ < sources_.size()) {
        start(index, out);
        return;
    }
    it.source.clear();
    const auto half = options_.retry / 2;
    it.due = clock_.now() + half + base::duration{static_cast<base::duration::rep>(random_() % half.count())};
}

poller_actions poller::on_reply(std::uint64_t id, const reply &body) {
    poller_actions out;
    auto *it = find(id);
    if (it == nullptr) {
        return out;
    }
    const auto index = static_cast<std::size_t>(it - slots_.data());
    cursors_[it->source] = body.withdrawals;
    if (!body.withdrawn.empty()) {
        out.emplace_back(withdraw_keys{body.withdrawn});
    }
    it->announced = std::max(it->announced, body.version);
    if (it->full && (body.version > version_ || (snapshot_wanted_ && body.version == version_))) {
        snapshot_wanted_ = false;
        version_ = body.version;
        out.emplace_back(adopt_version{body.version});
    }
    if (body.version >= version_) {
        const auto held = std::clamp(body.held, base::duration{0}, clock_.now() - it->started);
        confirmed_ = std::max(confirmed_, it->started + held - body.age);
    }
    if (body.age > options_.stale_after || body.busy) {
        fail(index, out);
        return out;
    }
    failures_ = 0;
    failed_.erase(it->source);
    it->id = 0;
    if (it->announced > version_) {
        it->due = clock_.now() + options_.grace;
    } else {
        start(index, out);
    }
    return out;
}

poller_actions poller::on_failed(std::uint64_t id) {
    poller_actions out;
    if (auto *it = find(id); it != nullptr) {
        fail(static_cast<std::size_t>(it - slots_.data()), out);
    }
    return out;
}

poller_actions poller::on_time() {
    poller_actions out;
    const auto now = clock_.now();
    for (std::size_t n = 0; n < slots_.size(); ++n) {
        auto &it = slots_[n];
        if (it.due > now) {
            continue;
        }
        if (it.id == 0) {
            start(n, out);
        } else {
            out.emplace_back(abandon_poll{it.id, it.source});
            fail(n, out);
        }
    }
    return out;
}

std::optional<base::instant> poller::next_wakeup() const noexcept {
    std::optional<base::instant> out;
    for (const auto &it : slots_) {
        out = out ? std::min(*out, it.due) : it.due;
    }
    return out;
}

} // namespace dotterelstack::spread
