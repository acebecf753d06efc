#include "lease/lease_thread.hpp"

#include <algorithm>

#include "base/interruptible_wait.hpp"
#include "log/event.hpp"

namespace dotterelstack::lease {

namespace internal {

// Interval at which a process that is no candidate calls its candidate check again; also the longest single wait.
constexpr auto candidate_poll_interval = std::chrono::milliseconds{200};
// Pause between attempts to write the release.
constexpr auto release_retry_interval = std::chrono::milliseconds{50};
// Time for which the release is retried when the thread stops without a limit; if it fails, the lease expires by its
// term.
constexpr auto release_timeout = std::chrono::seconds{2};

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
            base::wait_unless_stopped(token, internal::candidate_poll_interval);
            continue;
        }
        const auto action = drive_lease(lease_state_, store_, ids_);
        publish();
        if (action.step == lease_step::wait) {
            // A suspended holder wakes up late from this wait. That is safe because its authority expires by the
            // boot-time clock, not by this wait.
            const auto wait = std::clamp<base::duration>(action.until - clock_.now(), base::duration{0},
                                                         internal::candidate_poll_interval);
            base::wait_unless_stopped(token, wait);
        }
    }
    const bool owned = lease_state_.owns_record();
    lease_state_.release();
    {
        const std::scoped_lock lock{mutex_};
        authority_.reset();
    }
    const auto last = release_until_.load();
    const auto limit = last == base::instant{} ? clock_.now() + internal::release_timeout : last;
    while (owned && clock_.now() < limit) {
        const auto action = drive_lease(lease_state_, store_, ids_);
        if (action.step == lease_step::wait && action.until == base::instant::max()) {
            log::write("lease_released", {{"lease", name_}});
            break;
        }
        if (action.step == lease_step::wait) {
            std::this_thread::sleep_for(internal::release_retry_interval);
        }
    }
}

} // namespace dotterelstack::lease
