#include "entry/lease_thread.hpp"

#include <algorithm>

#include "log/event.hpp"

namespace dotterelstack::entry {

namespace internal {

// Longest sleep of the thread, which bounds the time of a stop.
constexpr auto lease_wait = std::chrono::milliseconds{50};
// Longest wait for the release to be written; without it the lease expires by itself.
constexpr auto lease_stop_limit = std::chrono::seconds{2};

} // namespace internal

lease::lease_settings lease_settings_of(const settings::entry_timings &timings, std::string name, std::string holder) {
    lease::lease_settings out{.name = std::move(name), .holder = std::move(holder)};
    out.term = timings.lease_term;
    out.margin = timings.lease_margin;
    // Two renewals may fail before the term ends.
    out.renew_every = timings.lease_term * 3 / 10;
    out.standby_read_every = std::min<base::duration>(out.standby_read_every, timings.lease_term / 2);
    return out;
}

lease_thread::lease_thread(const lease::lease_settings &values, const base::clock &time, store::object_store &store,
                           base::id_source &ids, candidate_check candidate)
    : name_{values.name}, store_{store}, ids_{ids}, clock_{time}, candidate_{std::move(candidate)}, keeper_{time,
                                                                                                            values} {}

lease_thread::~lease_thread() {
    stop();
}

void lease_thread::start() {
    thread_ = std::jthread{[this](const std::stop_token &token) { run(token); }};
}

void lease_thread::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
}

std::optional<lease::authority_check> lease_thread::authority() const {
    const std::scoped_lock lock{mutex_};
    return authority_ && (*authority_)() ? authority_ : std::nullopt;
}

void lease_thread::publish() {
    auto now = keeper_.authority();
    if (now.has_value() != was_held_) {
        was_held_ = now.has_value();
        log::write(was_held_ ? log::event{"lease_acquired"} : log::event{"lease_lost"}, {{"lease", name_}});
    }
    const std::scoped_lock lock{mutex_};
    authority_ = std::move(now);
}

void lease_thread::run(const std::stop_token &token) {
    while (!token.stop_requested()) {
        if (!keeper_.held() && !candidate_()) {
            publish();
            std::this_thread::sleep_for(internal::lease_wait);
            continue;
        }
        const auto action = lease::drive_lease(keeper_, store_, ids_);
        publish();
        if (action.step == lease::lease_step::wait) {
            const auto wait =
                std::clamp<base::duration>(action.until - clock_.now(), base::duration{0}, internal::lease_wait);
            std::this_thread::sleep_for(wait);
        }
    }
    const bool held = keeper_.held();
    keeper_.release();
    {
        const std::scoped_lock lock{mutex_};
        authority_.reset();
    }
    const auto limit = clock_.now() + internal::lease_stop_limit;
    while (held && clock_.now() < limit) {
        const auto action = lease::drive_lease(keeper_, store_, ids_);
        if (action.step == lease::lease_step::wait && action.until == base::instant::max()) {
            log::write("lease_released", {{"lease", name_}});
            break;
        }
        if (action.step == lease::lease_step::wait) {
            std::this_thread::sleep_for(internal::lease_wait);
        }
    }
}

} // namespace dotterelstack::entry
