#include "gateway/store_feed.hpp"

#include <algorithm>
#include <utility>

#include "base/interruptible_wait.hpp"
#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Lower limit of a watch, so that a short `longest_wait` does not turn it into polling.
constexpr base::duration shortest_wait = std::chrono::milliseconds{100};
// A watch is given up for a list when its answer is larger than the last list by this factor: reading both then takes
// at most three times as long as the list alone.
constexpr std::size_t changes_per_list = 2;
// Smaller answers are read whatever the size of the list.
constexpr std::size_t small_answer = std::size_t{256} << 10U;

} // namespace internal

store_feed::store_feed(store::object_store &store, std::string prefix, feed_settings settings, feed_handlers handlers)
    : store_{store}, prefix_{std::move(prefix)}, settings_{settings}, handlers_{std::move(handlers)} {}

store_feed::~store_feed() {
    stop();
}

void store_feed::start() {
    thread_ = std::jthread{[this](const std::stop_token &token) { run(token); }};
}

void store_feed::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
}

base::duration store_feed::step() {
    const auto limit = handlers_.longest_wait ? handlers_.longest_wait() : settings_.watch_wait;
    const auto wait =
        failed_ ? internal::shortest_wait : std::clamp(limit, internal::shortest_wait, settings_.watch_wait);
    if (since_ != 0 && handlers_.known_version) {
        since_ = std::max(since_, handlers_.known_version());
    }
    const auto limit_bytes = std::max(internal::small_answer, internal::changes_per_list * listed_bytes_);
    const auto batch = store_.watch(prefix_, since_, {wait, limit_bytes});
    if (!batch) {
        const auto &code = batch.error().code;
        const bool too_long = since_ != 0 && code == "answer_too_long";
        if (too_long || code == "history_lost") {
            log::write(too_long ? log::event{"store_changes_too_long"} : log::event{"store_history_lost"},
                       {{"prefix", prefix_}, {"since", since_}, {"limit_bytes", limit_bytes}});
            since_ = 0;
            failed_ = false;
            handlers_.on_answered();
            return base::duration{0};
        }
        log::write("store_call_failed", {{"prefix", prefix_}, {"since", since_}, {"reason", batch.error().message}});
        handlers_.on_failed(batch.error());
        return std::exchange(failed_, true) ? settings_.retry_after : base::duration{0};
    }
    failed_ = false;
    handlers_.on_answered();
    const auto &seen = batch.value();
    if (since_ == 0) {
        std::vector<store::object> all;
        all.reserve(seen.events.size());
        std::ranges::transform(seen.events, std::back_inserter(all), [](const auto &it) { return it.item; });
        listed_bytes_ = seen.bytes;
        handlers_.on_list(all);
    } else if (!seen.events.empty()) {
        handlers_.on_changes(seen.events);
    }
    since_ = std::max(since_, seen.revision);
    if (handlers_.on_current) {
        handlers_.on_current();
    }
    return seen.events.empty() ? base::duration{0} : settings_.pause_after_change;
}

void store_feed::run(const std::stop_token &token) {
    while (!token.stop_requested()) {
        const auto pause = step();
        if (pause > base::duration{0}) {
            base::wait_unless_stopped(token, pause);
        }
    }
}

} // namespace dotterelstack::gateway
