#include "entry/billing_task.hpp"

#include <algorithm>

#include "log/event.hpp"

namespace dotterelstack::entry {

namespace internal {

// Longest sleep of the worker thread; bounds the duration of `stop`.
constexpr auto billing_wait = std::chrono::milliseconds{50};

usage::reporter_settings reporter_settings_of(const settings::entry_timings &timings, std::string reporter) {
    usage::reporter_settings out{.reporter = std::move(reporter)};
    out.read_every = sealer_settings_of(timings).read_every;
    return out;
}

} // namespace internal

usage::sealer_settings sealer_settings_of(const settings::entry_timings &timings) {
    usage::sealer_settings out;
    out.window_length = timings.usage_window;
    // Each entry reads the open window and flushes, both once per flush interval; the remaining half interval is for
    // the store calls.
    out.grace = timings.usage_flush_interval * 5 / 2;
    out.read_every = std::min<base::duration>(out.read_every, timings.usage_window / 4);
    return out;
}

billing_task::billing_task(const settings::entry_timings &timings, const std::string &incarnation, std::string platform,
                           dependencies with)
    : settings_{sealer_settings_of(timings)}, reporter_settings_{internal::reporter_settings_of(timings, incarnation)},
      platform_{std::move(platform)}, deps_{std::move(with)}, lease_{lease_settings_of(timings, "billing", incarnation),
                                                                     deps_.time, deps_.store, deps_.ids,
                                                                     deps_.candidate} {}

billing_task::~billing_task() {
    stop();
}

void billing_task::start() {
    lease_.start();
    thread_ = std::jthread{[this](const std::stop_token &token) { run(token); }};
}

void billing_task::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
    lease_.stop();
}

void billing_task::run(const std::stop_token &token) {
    std::unique_ptr<term> current;
    while (!token.stop_requested()) {
        auto until = base::instant::max();
        const auto authority = lease_.authority();
        if (!authority) {
            current.reset();
        } else {
            if (!current || current->fence != authority->fence()) {
                current = std::make_unique<term>(deps_.time, settings_, authority->fence());
            }
            until = work(*current, *authority);
        }
        const auto now = deps_.time.now();
        if (until > now) {
            std::this_thread::sleep_for(std::min<base::duration>(until - now, internal::billing_wait));
        }
    }
}

base::instant billing_task::work(term &it, const lease::authority_check &authority) {
    const auto action = usage::drive_sealer(it.sealer, deps_.store, deps_.ids, authority);
    if (it.sealer.sealed() > it.sealed) {
        it.sealed = it.sealer.sealed();
        log::write("usage_window_sealed", {{"window", it.sealed}});
        deps_.on_sealed(it.sealed);
    }
    const bool open_read = action.step != usage::sealer_step::read_open && it.sealer.open().window > 0;
    if (!it.reporter && open_read) {
        it.reporter =
            std::make_unique<usage::usage_reporter>(deps_.time, reporter_settings_, it.sealer.open().reported);
    }
    const auto idle = action.step == usage::sealer_step::wait ? action.until : base::instant{};
    return it.reporter ? std::min(idle, report(it, authority)) : idle;
}

base::instant billing_task::report(term &it, const lease::authority_check &authority) {
    const auto before = it.reporter->reported();
    const auto action = usage::drive_reporter(*it.reporter, deps_.store, deps_.ids, deps_.client, platform_, authority);
    if (it.reporter->reported() > before) {
        it.sealer.on_reported(it.reporter->reported());
        if (action.step == usage::reporter_step::write_mark) {
            log::write("usage_reported", {{"window", it.reporter->reported()}});
        }
    }
    if (it.reporter->rejections() > it.rejections) {
        it.rejections = it.reporter->rejections();
        log::write("usage_report_failed", {{"rejections", it.rejections}});
    }
    return action.step == usage::reporter_step::wait ? action.until : base::instant{};
}

} // namespace dotterelstack::entry
