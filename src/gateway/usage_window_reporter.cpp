#include "gateway/usage_window_reporter.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/interruptible_wait.hpp"
#include "log/event.hpp"
#include "store/settled_write.hpp"

namespace dotterelstack::gateway {

namespace internal {

// A gateway whose record is more than this many windows behind the one to seal has ended, or has been disconnected for
// so long that waiting for it would make the reports late.
constexpr std::uint64_t max_record_lag = 1;

// Key of the object in which a holder states from which window on a missing seal was never made.
constexpr std::string_view seal_state_key = "usage-state/seals";

/** Contents of that object. */
struct seal_state {
    std::uint64_t history{0};
    std::uint64_t unsure_before{0};
};

nlohmann::json to_json(const seal_state &it) {
    return {{"history", it.history}, {"unsure_before", it.unsure_before}};
}

seal_state parse_seal_state(const store::object &item) {
    const auto value = store::parse_value(item);
    if (!value) {
        return {};
    }
    try {
        return seal_state{value.value().at("history").get<std::uint64_t>(),
                          value.value().at("unsure_before").get<std::uint64_t>()};
    } catch (const nlohmann::json::exception &) {
        // As of no history: the next holder writes it anew, and leaves out what it does not know.
        return {};
    }
}

std::uint64_t window_of_seal(std::string_view key) {
    std::uint64_t out = 0;
    key.remove_prefix(sealed_starts_prefix.size());
    std::from_chars(key.data(), key.data() + key.size(), out);
    return out;
}

} // namespace internal

usage_window_reporter::usage_window_reporter(usage_window_reporter_settings settings, dependencies deps)
    : settings_{settings}, deps_{std::move(deps)} {}

std::uint64_t usage_window_reporter::window_ms() const noexcept {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(1, base::to_milliseconds(settings_.window)));
}

bool usage_window_reporter::note_history() {
    const auto now = deps_.store.history();
    if (now == history_) {
        return false;
    }
    if (history_ != 0) {
        log::write("store_returned", {{"history", now}, {"before", history_}});
    }
    // A process that has just started cannot tell, so the first history counts as new, too.
    history_ = now;
    returned_at_ = deps_.time.now();
    knew_last_history_ = seals_complete_ && *returned_at_ <= last_held_at_ + settings_.takeover_margin;
    seals_complete_ = false;
    return true;
}

std::uint64_t usage_window_reporter::oldest_due(std::uint64_t current) const noexcept {
    return current - std::min(current, settings_.keep_windows / 2);
}

bool usage_window_reporter::load_seals(std::uint64_t current) {
    seals_.forget_before(oldest_due(current));
    const auto sealed = deps_.store.list(sealed_starts_prefix);
    if (!sealed) {
        return false;
    }
    std::set<std::uint64_t> stored;
    for (const auto &it : sealed.value()) {
        const auto window = internal::window_of_seal(it.key);
        stored.insert(window);
        if (auto counts = parse_counts(it); counts && window >= oldest_due(current)) {
            seals_.remember(window, std::move(counts.value()));
        }
    }
    for (const auto &[window, counts] : seals_.seals()) {
        if (stored.contains(window)) {
            continue;
        }
        const auto written =
            store::settled_write(deps_.store, deps_.ids, sealed_starts_key(window), to_json(counts), store::absent);
        log::write("usage_seal_restored", {{"window", window}, {"written", written.has_value()}});
        if (!written) {
            return false;
        }
    }
    return true;
}

bool usage_window_reporter::complete_seals(std::uint64_t current) {
    if (!load_seals(current)) {
        return false;
    }
    const std::string key{internal::seal_state_key};
    const auto found = deps_.store.get(key);
    if (!found) {
        return false;
    }
    const auto stated = found.value() ? internal::parse_seal_state(*found.value()) : internal::seal_state{};
    if (stated.history > history_) {
        // The store has returned again meanwhile, which the next step will note.
        return false;
    }
    const bool is_stated = stated.history == history_ && found.value();
    auto unsure_before = seals_.unsure_before();
    if (!knew_last_history_ && history_ != 0) {
        unsure_before = is_stated ? stated.unsure_before : current;
    }
    if (!is_stated || unsure_before < stated.unsure_before) {
        const auto version = found.value() ? found.value()->version : store::absent;
        const auto written =
            store::settled_write(deps_.store, deps_.ids, key, internal::to_json({history_, unsure_before}), version);
        if (!written) {
            return false;
        }
    }
    log::write("usage_seals_complete", {{"history", history_}, {"unsure_before", unsure_before}});
    seals_.set_unsure_before(unsure_before);
    seals_complete_ = true;
    return true;
}

void usage_window_reporter::stand_by() {
    const bool returned = note_history();
    const auto current = deps_.now() / window_ms();
    if (knew_last_history_ && !seals_complete_) {
        // What a former holder knows of the lost history is true, whoever holds the lease now.
        (void)complete_seals(current);
    } else if ((returned || current != stood_by_in_) && load_seals(current)) {
        stood_by_in_ = current;
    }
}

bool usage_window_reporter::may_still_count(const known_member &it, std::span<const known_member> all,
                                            std::uint64_t window) const {
    if (it.record.window > window) {
        return false;
    }
    const auto now = deps_.time.now();
    const bool rewriting = returned_at_ && now < *returned_at_ + settings_.rewrite_time;
    const bool behind = it.record.window + internal::max_record_lag < window;
    if (behind && (!rewriting || now - it.advanced_at > settings_.member_ttl)) {
        return false;
    }
    // A newer process at the same address has replaced this one.
    return std::ranges::none_of(all, [&it](const known_member &other) {
        return other.key != it.key && other.record.peer_address == it.record.peer_address &&
               std::pair{other.record.window, other.version} > std::pair{it.record.window, it.version};
    });
}

std::vector<known_member> *usage_window_reporter::list_members(step_members &members) const {
    if (members.listed) {
        return members.records ? &*members.records : nullptr;
    }
    members.listed = true;
    const auto items = deps_.store.list(members_prefix);
    if (!items) {
        log::write("member_list_failed", {{"reason", items.error().code}});
        return nullptr;
    }
    deps_.members.on_list(items.value());
    return &members.records.emplace(deps_.members.all());
}

bool usage_window_reporter::ask(known_member &of, std::uint64_t window, step_members &members) const {
    if (!deps_.ask_member || members.asked >= settings_.asks_per_step) {
        return false;
    }
    ++members.asked;
    auto answer = deps_.ask_member(of.record.peer_address);
    // Another process may use the address by now; its counts are in its own record.
    const bool same = answer && answer->name == of.record.name && answer->window > window;
    log::write("member_asked", {{"gateway", of.record.name}, {"window", window}, {"answered", same}});
    if (same) {
        deps_.members.on_answer(of.key, *answer);
        of.record = std::move(*answer);
    }
    return same;
}

std::optional<start_counts> usage_window_reporter::sum(std::uint64_t window, step_members &members) const {
    auto *all = list_members(members);
    if (all == nullptr) {
        return std::nullopt;
    }
    const auto now = deps_.now();
    const auto after_end = [this, window, now](base::duration wait) {
        return now >= (window + 1) * window_ms() + static_cast<std::uint64_t>(base::to_milliseconds(wait));
    };
    const bool late = after_end(settings_.due - settings_.reserve);
    start_counts out;
    for (auto &it : *all) {
        const bool missing = may_still_count(it, *all, window);
        if (missing && !(after_end(settings_.ask_after) && ask(it, window, members)) && !late) {
            return std::nullopt;
        }
        const auto counts = it.record.starts.find(window);
        if (counts != it.record.starts.end()) {
            for (const auto &[organisation, n] : counts->second) {
                out[organisation] += n;
            }
        }
    }
    return out;
}

std::optional<start_counts> usage_window_reporter::seal(std::uint64_t window, const lease::authority_check &authority,
                                                        step_members &members) {
    const auto key = sealed_starts_key(window);
    const auto found = deps_.store.get(key);
    if (!found) {
        return std::nullopt;
    }
    if (found.value()) {
        const auto counts = parse_counts(*found.value());
        return counts ? std::optional{counts.value()} : std::nullopt;
    }
    if (seals_.missing(window) == missing_seal::unknown) {
        log::write("usage_window_left_out", {{"window", window}, {"unsure_before", seals_.unsure_before()}});
        reported_.insert(window);
        return std::nullopt;
    }
    auto counts = sum(window, members);
    // After a return in the middle of a step, nothing that was read before it holds.
    if (!counts || !authority() || deps_.store.history() != members.history) {
        return std::nullopt;
    }
    // After a conflict or a lost answer, the next step reads the stored object.
    const auto written = store::settled_write(deps_.store, deps_.ids, key, to_json(*counts), store::absent);
    if (!written) {
        log::write("usage_seal_failed", {{"window", window}, {"reason", written.error().code}});
        return std::nullopt;
    }
    log::write("usage_window_sealed", {{"window", window}});
    return counts;
}

void usage_window_reporter::report(std::uint64_t window, const lease::authority_check &authority,
                                   step_members &members) {
    if (seals_.find(window) == nullptr) {
        auto counts = seal(window, authority, members);
        if (!counts) {
            return;
        }
        seals_.remember(window, std::move(*counts));
    }
    if (!authority()) {
        return;
    }
    const auto done = deps_.duties.report_usage(window, *seals_.find(window), authority.fence());
    if (done) {
        reported_.insert(window);
        log::write("usage_reported", {{"window", window}, {"fence", authority.fence()}});
        return;
    }
    superseded_ = done.error().kind == base::error_kind::refused;
    log::write("usage_report_failed",
               {{"window", window}, {"fence", authority.fence()}, {"reason", done.error().code}});
}

void usage_window_reporter::clean_up(std::uint64_t current) {
    if (current < cleaned_ + settings_.keep_windows) {
        return;
    }
    cleaned_ = current;
    const auto oldest = current - settings_.keep_windows;
    seals_.forget_before(oldest);
    std::erase_if(reported_, [oldest](std::uint64_t it) { return it < oldest; });
    if (const auto sealed = deps_.store.list(sealed_starts_prefix)) {
        for (const auto &it : sealed.value()) {
            if (internal::window_of_seal(it.key) < oldest) {
                (void)deps_.store.erase(it.key, it.version);
            }
        }
    }
    if (const auto members = deps_.store.list(members_prefix)) {
        for (const auto &it : members.value()) {
            const auto record = parse_member(it);
            const bool old = record && !record.value().starts.empty() && record.value().starts.rbegin()->first < oldest;
            if (old) {
                (void)deps_.store.erase(it.key, it.version);
            }
        }
    }
}

void usage_window_reporter::work(const lease::authority_check &authority) {
    (void)note_history();
    if (authority.fence() != fence_) {
        fence_ = authority.fence();
        superseded_ = false;
        seals_complete_ = false;
        reported_.clear();
    }
    if (superseded_) {
        return;
    }
    const auto current = deps_.now() / window_ms();
    if (!authority() || (!seals_complete_ && !complete_seals(current))) {
        return;
    }
    last_held_at_ = deps_.time.now();
    // Overdue reports are sent as well: late counts are better than none.
    step_members members{.history = history_};
    for (auto window = oldest_due(current); window < current && !superseded_ && authority(); ++window) {
        if (!reported_.contains(window)) {
            report(window, authority, members);
        }
    }
    if (!superseded_ && authority()) {
        clean_up(current);
    }
}

usage_window_reporter_thread::usage_window_reporter_thread(usage_window_reporter &duty,
                                                           const lease::lease_thread &lease, base::duration step,
                                                           std::function<bool()> candidate)
    : duty_{duty}, lease_{lease}, step_{step}, candidate_{std::move(candidate)} {}

usage_window_reporter_thread::~usage_window_reporter_thread() {
    stop();
}

void usage_window_reporter_thread::start() {
    thread_ = std::jthread{[this](const std::stop_token &token) {
        while (!token.stop_requested()) {
            if (const auto authority = lease_.authority()) {
                duty_.work(*authority);
            } else if (candidate_()) {
                duty_.stand_by();
            }
            base::wait_unless_stopped(token, step_);
        }
    }};
}

void usage_window_reporter_thread::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
}

} // namespace dotterelstack::gateway
