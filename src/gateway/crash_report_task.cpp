#include "gateway/crash_report_task.hpp"

#include <utility>
#include <vector>

#include "base/interruptible_wait.hpp"
#include "log/event.hpp"

namespace dotterelstack::gateway {

crash_report_task::crash_report_task(crash_report_settings settings, dependencies deps)
    : settings_{std::move(settings)}, deps_{std::move(deps)}, own_{deps_.store, deps_.ids,
                                                                   std::string{crash_reports_prefix} +
                                                                       settings_.incarnation} {}

crash_report_task::~crash_report_task() {
    stop();
}

void crash_report_task::start() {
    thread_ = std::jthread{[this](const std::stop_token &token) { run(token); }};
}

void crash_report_task::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
}

void crash_report_task::offer(crash_report report) {
    {
        const std::scoped_lock lock{mutex_};
        offered_ = std::move(report);
    }
    wake_.notify_all();
}

void crash_report_task::on_object(const std::string &key, std::uint64_t version) {
    if (key == own_.key()) {
        return;
    }
    const std::scoped_lock lock{mutex_};
    if (auto &it = others_[key]; it.version != version) {
        it = {version, deps_.time.now()};
    }
}

void crash_report_task::drop_living(crash_report &report) {
    const auto oldest = report.empty() ? 0 : report.front().number;
    std::erase_if(living_, [oldest](const auto &it) { return it.first < oldest; });
    std::erase_if(report, [this](const crash_observation &it) {
        if (it.kind != observation_kind::ended) {
            return false;
        }
        const auto [found, is_new] = living_.try_emplace(it.number, false);
        if (is_new) {
            found->second = deps_.answers(it.address);
        }
        return found->second;
    });
}

bool crash_report_task::publish() {
    std::optional<crash_report> report;
    {
        const std::scoped_lock lock{mutex_};
        report = std::exchange(offered_, std::nullopt);
    }
    if (!report) {
        return true;
    }
    drop_living(*report);
    const auto newest = report->empty() ? 0 : report->back().number;
    if (newest == written_) {
        return true;
    }
    const auto done = report->empty() ? own_.erase() : own_.write(to_json(*report));
    if (done) {
        written_ = newest;
        return true;
    }
    log::write("crash_report_failed", {{"reason", done.error().code}, {"observations", report->size()}});
    const std::scoped_lock lock{mutex_};
    if (!offered_) {
        offered_ = std::move(report);
    }
    return false;
}

void crash_report_task::clean_up() {
    std::vector<std::pair<std::string, std::uint64_t>> old;
    {
        const std::scoped_lock lock{mutex_};
        const auto oldest = deps_.time.now() - settings_.object_life;
        for (const auto &[key, it] : others_) {
            if (it.changed_at < oldest) {
                old.emplace_back(key, it.version);
            }
        }
        std::erase_if(others_, [oldest](const auto &it) { return it.second.changed_at < oldest; });
    }
    for (const auto &[key, version] : old) {
        // A conflict means that another gateway was first, or that the object is in use after all.
        (void)deps_.store.erase(key, version);
    }
}

void crash_report_task::run(const std::stop_token &token) {
    auto clean_due = deps_.time.now() + settings_.clean_every;
    while (!token.stop_requested()) {
        {
            std::unique_lock lock{mutex_};
            wake_.wait_for(lock, token, settings_.clean_every, [this] { return offered_.has_value(); });
        }
        base::wait_unless_stopped(token, settings_.collect);
        if (!publish()) {
            base::wait_unless_stopped(token, settings_.retry_after);
        }
        if (deps_.time.now() >= clean_due) {
            clean_due = deps_.time.now() + settings_.clean_every;
            clean_up();
        }
    }
}

} // namespace dotterelstack::gateway
