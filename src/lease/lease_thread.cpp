#include "lease/lease_thread.hpp"

#include <algorithm>

#include "base/interruptible_wait.hpp"
#include "log/event.hpp"

namespace dotterelstack::lease {

namespace internal {

// Interval at which a process that does not stand for the lease asks itself again.
constexpr auto candidate_wait = std::chrono::milliseconds{200};
// Pause between two tries to write the release.
constexpr auto release_wait = std::chrono::milliseconds{50};
// Longest wait for the release to be written; without it the lease expires by itself.
constexpr auto lease_stop_limit = std::chrono::seconds{2};

} // namespace internal

lease_thread::lease_thread(const lease_settings &values, const base::clock &time, store::object_store &store,
                           base::id_source &ids, candidate_check candidate)
    : name_{values.name}, store_{store}, ids_{ids}, clock_{time}, candidate_{std::move(candidate)}, lease_state_{
                                                                                                        time, values} {}

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

void lease_thread::request_stop(base::instant last) {
    release_until_ = last;
    thread_.request_stop();
}

std::optional<authority_check> lease_thread::authority() const {
    const std::scoped_lock lock{mutex_};
    return authority_ && (*authority_)() ? authority_ : std::nullopt;
}

void lease_thread::publish() {
    auto now = lease_state_.authority();
    if (now.has_value() != was_held_) {
        was_held_ = now.has_value();
        log::write(was_held_ ? log::event{"lease_acquired"} : log::event{"lease_lost"}, {{"lease", name_}});
    }
    const std::scoped_lock lock{mutex_};
    authority_ = std::move(now);
}

void lease_thread::run(const std::stop_token &token) {
    while (!token.stop_requested()) {
        if (!lease_state_.held() && !candidate_()) {
            publish();
            base::wait_unless_stopped(token, internal::candidate_wait);
            continue;
        }
        const auto action = drive_lease(lease_state_, store_, ids_);
        publish();
        if (action.step == lease_step::wait) {
            // A holder that is suspended is late by the time it slept; its authority ends by the clock, not by this
            // wait.
            const auto wait =
                std::clamp<base::duration>(action.until - clock_.now(), base::duration{0}, internal::candidate_wait);
            base::wait_unless_stopped(token, wait);
        }
    }
    const bool owned = lease_state_.owns_record();
    lease_state_.release();
    {
        const std::scoped_lock lock{mutex_};
        authority_.reset();
    }
    const auto limit = std::max<base::instant>(clock_.now() + internal::lease_stop_limit, release_until_);
    while (owned && clock_.now() < limit) {
        const auto action = drive_lease(lease_state_, store_, ids_);
        if (action.step == lease_step::wait && action.until == base::instant::max()) {
            log::write("lease_released", {{"lease", name_}});
            break;
        }
        if (action.step == lease_step::wait) {
            std::this_thread::sleep_for(internal::release_wait);
        }
    }
}

} // namespace dotterelstack::lease
