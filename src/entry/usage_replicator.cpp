#include "entry/usage_replicator.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "base/json_message.hpp"
#include "log/event.hpp"

namespace dotterelstack::entry {

using nlohmann::json;

namespace internal {

// Longest sleep of both threads while nothing is due.
constexpr auto usage_idle_wait = std::chrono::milliseconds{50};
// A peer that did not respond in time is not chosen again for this long; its connection is replaced within 1.5 s.
constexpr auto peer_retry_delay = std::chrono::seconds{2};
constexpr auto hold_retry_interval = std::chrono::seconds{1};
constexpr auto unheld_report_interval = std::chrono::minutes{1};
// Delay after a failed flush, and longest wait for the responses to the last releases.
constexpr auto flush_retry = std::chrono::seconds{2};
constexpr auto release_wait = std::chrono::milliseconds{500};
// Records of one `POST /usage/hold`; about 200 bytes each.
constexpr std::size_t hold_batch = 1000;
// Header field of `POST /usage/hold` with the address of the owner, at which its process is monitored.
constexpr std::string_view address_field = "ds-address";

usage::recorder_settings recorder_settings_of(const usage_replicator_options &options) {
    return {.owner = options.incarnation,
            .flush_every = options.flush_every,
            .retry_after = std::min<base::duration>(flush_retry, options.flush_every)};
}

http::response json_answer(int status, const json &body) {
    return {status, {{"content-type", "application/json"}}, body.dump()};
}

http::request post(std::string target, const std::string &address, const json &body) {
    return {"POST",
            std::move(target),
            {{"content-type", "application/json"}, {std::string{address_field}, address}},
            body.dump()};
}

} // namespace internal

usage_replicator::usage_replicator(usage_replicator_options options, dependencies with)
    : options_{std::move(options)}, deps_{std::move(with)}, ring_{options_.requests * 3},
      recorder_{deps_.time, internal::recorder_settings_of(options_)} {}

usage_replicator::~usage_replicator() {
    stop();
}

void usage_replicator::start(std::string address) {
    address_ = std::move(address);
    started_ = true;
    hold_thread_ = std::thread{[this] { run_holds(); }};
    flush_thread_ = std::thread{[this] { run_flushes(); }};
}

void usage_replicator::stop() {
    ring_.close();
    if (hold_thread_.joinable()) {
        hold_thread_.join();
    }
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
    }
    wake_.notify_all();
    if (flush_thread_.joinable()) {
        flush_thread_.join();
    }
}

void usage_replicator::record(served_usage used) {
    ring_.push(std::move(used));
}

std::size_t usage_replicator::unstored_count() const {
    const std::scoped_lock lock{mutex_};
    return recorder_.unstored_count();
}

std::size_t usage_replicator::held() const {
    const std::scoped_lock lock{mutex_};
    return holder_.held();
}

http::response usage_replicator::on_hold(const http::request &message) {
    const auto records = usage::parse_hold_body(message.body);
    const auto address = http::find_field(message.fields, internal::address_field);
    if (!records || !address) {
        return internal::json_answer(400, {{"held", false}});
    }
    const std::scoped_lock lock{mutex_};
    if (stopping_ || !started_) {
        return internal::json_answer(503, {{"held", false}});
    }
    holder_.hold(records.value());
    for (const auto &it : records.value()) {
        owner_addresses_[it.owner] = *address;
    }
    // The request shows that the owner is alive.
    auto &view = views_[std::string{*address}];
    view.answered = deps_.time.now();
    if (!view.incarnation.empty() && !records.value().empty()) {
        view.incarnation = records.value().front().owner;
    }
    return internal::json_answer(200, {{"held", true}});
}

http::response usage_replicator::on_release(const http::request &message) {
    const auto body = base::parse_message(message.body);
    try {
        const auto owner = body.at("owner").get<std::string>();
        const auto sequences = body.at("sequences").get<std::vector<std::uint64_t>>();
        const std::scoped_lock lock{mutex_};
        holder_.release(owner, sequences);
    } catch (const json::exception &) {
        return internal::json_answer(400, {{"released", false}});
    }
    return internal::json_answer(200, {{"released", true}});
}

void usage_replicator::process(ring_item it, std::vector<usage::usage_record> &new_records) {
    if (auto *used = std::get_if<served_usage>(&it)) {
        const std::scoped_lock lock{mutex_};
        new_records.push_back(recorder_.record(std::move(used->request), std::move(used->organisation),
                                               std::move(used->service), used->prompt_tokens, used->generated_tokens));
        return;
    }
    const auto &outcome = std::get<hold_outcome>(it);
    const auto found = calls_.find(outcome.call);
    if (found == calls_.end()) {
        return;
    }
    auto call = std::move(found->second);
    calls_.erase(found);
    if (outcome.held) {
        {
            const std::scoped_lock lock{mutex_};
            for (const auto &record : call.records) {
                (void)recorder_.on_held(record.sequence, call.peer);
            }
        }
        release_responses(call);
        return;
    }
    const auto now = deps_.time.now();
    failed_[call.peer] = now + internal::peer_retry_delay;
    if (call.responses_wait && now < call.deadline) {
        hold(std::move(call.records), true, call.deadline);
    }
}

void usage_replicator::run_holds() {
    while (true) {
        std::vector<usage::usage_record> new_records;
        if (auto it = ring_.pop_for(calls_.empty() ? internal::usage_idle_wait : std::chrono::milliseconds{10})) {
            process(std::move(*it), new_records);
            while (new_records.size() < internal::hold_batch) {
                auto more = ring_.pop_for(base::duration{0});
                if (!more) {
                    break;
                }
                process(std::move(*more), new_records);
            }
        } else if (ring_.closed()) {
            break;
        }
        if (!new_records.empty()) {
            hold(std::move(new_records), true, deps_.time.now() + options_.hold_timeout);
        }
        expire_holds();
        retry_holds();
    }
    for (auto &[id, call] : calls_) {
        release_responses(call);
    }
    calls_.clear();
}

std::string usage_replicator::choose_peer() const {
    const auto now = deps_.time.now();
    std::string best;
    std::pair<int, std::size_t> best_rank{};
    for (const auto &it : deps_.peers()) {
        const auto failed = failed_.find(it.address);
        if (it.address == address_ || (failed != failed_.end() && now < failed->second)) {
            continue;
        }
        // Prefers another failure domain, then a listed host; the hash distributes owners over peers of equal rank.
        const int other = !it.failure_domain.empty() && it.failure_domain != options_.failure_domain ? 2 : 0;
        const std::pair rank{other + (it.live ? 1 : 0), std::hash<std::string>{}(options_.incarnation + it.address)};
        if (best.empty() || rank > best_rank) {
            best = it.address;
            best_rank = rank;
        }
    }
    return best;
}

void usage_replicator::hold(std::vector<usage::usage_record> records, bool responses_wait, base::instant deadline) {
    hold_call call{choose_peer(), std::move(records), responses_wait, deadline};
    if (call.peer.empty()) {
        report_unheld();
        release_responses(call);
        return;
    }
    const auto id = next_call_++;
    const auto &sent = calls_[id] = std::move(call);
    deps_.calls.call(sent.peer, internal::post("/usage/hold", address_, usage::hold_body(sent.records)),
                     [this, id](const base::result<http::response> &answer) {
                         // A dropped outcome counts as a missing response; the event loop must not block on the ring.
                         (void)ring_.try_push(hold_outcome{id, answer && answer.value().status == 200});
                     });
}

void usage_replicator::expire_holds() {
    const auto now = deps_.time.now();
    for (auto &[id, call] : calls_) {
        if (call.responses_wait && now >= call.deadline) {
            // The call is kept, as a late response still shows that the peer holds the records.
            failed_[call.peer] = now + internal::peer_retry_delay;
            report_unheld();
            release_responses(call);
        }
    }
    std::erase_if(calls_, [&](const auto &it) { return now > it.second.deadline + internal::peer_retry_delay; });
}

void usage_replicator::retry_holds() {
    const auto now = deps_.time.now();
    if (now < retry_due_) {
        return;
    }
    retry_due_ = now + internal::hold_retry_interval;
    std::set<std::uint64_t> in_flight;
    for (const auto &[id, call] : calls_) {
        for (const auto &it : call.records) {
            in_flight.insert(it.sequence);
        }
    }
    std::vector<usage::usage_record> records;
    {
        const std::scoped_lock lock{mutex_};
        records = recorder_.not_held();
    }
    std::erase_if(records, [&](const auto &it) { return in_flight.contains(it.sequence); });
    records.resize(std::min(records.size(), internal::hold_batch));
    if (!records.empty()) {
        hold(std::move(records), false, now);
    }
}

void usage_replicator::release_responses(hold_call &call) {
    if (std::exchange(call.responses_wait, false)) {
        for (const auto &it : call.records) {
            deps_.events.push(usage_held_event{it.request});
        }
    }
}

void usage_replicator::report_unheld() {
    const auto now = deps_.time.now();
    if (now >= report_due_) {
        report_due_ = now + internal::unheld_report_interval;
        log::write("usage_hold_failed", {{"waiting", unstored_count()}});
    }
}

void usage_replicator::run_flushes() {
    while (true) {
        {
            std::unique_lock lock{mutex_};
            if (wake_.wait_for(lock, internal::usage_idle_wait, [this] { return stopping_; })) {
                break;
            }
        }
        read_open_window();
        while (flush_own()) {
        }
        watch_peers();
        if (deps_.time.now() >= held_flush_due_) {
            while (flush_held()) {
            }
        }
    }
    flush_until(deps_.time.now() + options_.stop_flush_timeout);
}

void usage_replicator::flush_until(base::instant limit) {
    {
        const std::scoped_lock lock{mutex_};
        // This process may hold the only other copy of its owners' records, and storing a record twice does no harm.
        for (const auto &[owner, address] : owner_addresses_) {
            holder_.on_owner_gone(owner);
        }
    }
    while ((unstored_count() > 0 || held() > 0) && deps_.time.now() < limit) {
        {
            const std::scoped_lock lock{mutex_};
            recorder_.flush_now();
        }
        const bool own = flush_own();
        const bool others = flush_held();
        if (!own && !others) {
            std::this_thread::sleep_for(internal::usage_idle_wait);
        }
    }
    std::unique_lock lock{mutex_};
    wake_.wait_for(lock, internal::release_wait, [this] { return releases_ == 0; });
}

void usage_replicator::read_open_window() {
    const auto now = deps_.time.now();
    if (now < open_due_) {
        return;
    }
    open_due_ = now + options_.flush_every;
    const auto found = deps_.store.get(usage::open_window_key);
    if (!found || !found.value()) {
        open_due_ = now + std::min<base::duration>(options_.flush_every, internal::flush_retry);
        return;
    }
    const auto open = usage::parse_open(*found.value());
    if (!open) {
        return;
    }
    {
        const std::scoped_lock lock{mutex_};
        recorder_.on_open_window(open.value().window);
    }
    if (deps_.on_open) {
        deps_.on_open(open.value());
    }
}

bool usage_replicator::flush_own() {
    std::optional<usage::usage_batch> batch;
    {
        const std::scoped_lock lock{mutex_};
        batch = recorder_.next_batch();
    }
    if (!batch) {
        return false;
    }
    const auto stored = usage::store_batch(deps_.store, deps_.ids, *batch);
    std::vector<usage::hold_release> releases;
    {
        const std::scoped_lock lock{mutex_};
        releases = recorder_.on_flushed(*batch, stored);
    }
    if (!stored) {
        return false;
    }
    log::write("usage_batch_written", {{"records", batch->records.size()}, {"window", batch->window}});
    release_at_peers(releases);
    return true;
}

void usage_replicator::release_at_peers(const std::vector<usage::hold_release> &releases) {
    for (const auto &it : releases) {
        {
            const std::scoped_lock lock{mutex_};
            ++releases_;
        }
        deps_.calls.call(it.peer,
                         internal::post("/usage/release", address_, {{"owner", it.owner}, {"sequences", it.sequences}}),
                         [this](const base::result<http::response> & /*answer*/) {
                             // A lost release costs memory until the owner is gone, but does not cause double billing.
                             const std::scoped_lock lock{mutex_};
                             --releases_;
                             wake_.notify_all();
                         });
    }
}

bool usage_replicator::flush_held() {
    std::optional<usage::usage_batch> batch;
    {
        const std::scoped_lock lock{mutex_};
        batch = holder_.next_batch();
    }
    if (!batch) {
        return false;
    }
    const auto stored = usage::store_batch(deps_.store, deps_.ids, *batch);
    {
        const std::scoped_lock lock{mutex_};
        holder_.on_flushed(*batch, stored);
    }
    if (!stored) {
        held_flush_due_ = deps_.time.now() + internal::flush_retry;
        return false;
    }
    log::write("usage_batch_written",
               {{"records", batch->records.size()}, {"window", batch->window}, {"owner", batch->owner}});
    return true;
}

bool usage_replicator::gone(const peer_view &view, bool listed) const {
    const auto unanswered_for = deps_.time.now() - view.answered;
    return unanswered_for > options_.listed_peer_timeout || (unanswered_for > options_.peer_timeout && !listed);
}

void usage_replicator::watch_peers() {
    const auto now = deps_.time.now();
    if (now < watch_due_) {
        return;
    }
    watch_due_ = now + options_.peer_status_interval;
    std::set<std::string> live;
    std::set<std::string> watched;
    for (const auto &it : deps_.peers()) {
        if (it.live) {
            live.insert(it.address);
        }
    }
    {
        const std::scoped_lock lock{mutex_};
        const auto owners = holder_.owners();
        std::erase_if(owner_addresses_, [&](const auto &it) { return !owners.contains(it.first); });
        for (const auto &[owner, address] : owner_addresses_) {
            watched.insert(address);
            auto &view = views_.try_emplace(address, peer_view{{}, now}).first->second;
            const bool replaced = !view.incarnation.empty() && view.incarnation != owner;
            if (replaced || gone(view, live.contains(address))) {
                holder_.on_owner_gone(owner);
            }
        }
        for (const auto &address : recorder_.peers()) {
            watched.insert(address);
            auto &view = views_.try_emplace(address, peer_view{{}, now}).first->second;
            if (gone(view, live.contains(address))) {
                // The hold thread sends the records to another peer.
                (void)recorder_.on_peer_gone(address);
            }
        }
        std::erase_if(views_, [&](const auto &it) { return !it.second.asked && !watched.contains(it.first); });
    }
    for (const auto &address : watched) {
        ask_status(address);
    }
}

void usage_replicator::ask_status(const std::string &address) {
    {
        const std::scoped_lock lock{mutex_};
        auto &view = views_[address];
        if (std::exchange(view.asked, true)) {
            return;
        }
    }
    const auto asked = deps_.time.now();
    deps_.calls.call(address, {"GET", "/status", {}, ""}, [this, address, asked](base::result<http::response> answer) {
        const auto body = answer && answer.value().status == 200 ? base::parse_message(answer.value().body) : json{};
        const std::scoped_lock lock{mutex_};
        auto &view = views_[address];
        view.asked = false;
        if (!body.is_object()) {
            return;
        }
        const auto incarnation = base::field_or(body, "incarnation", std::string{});
        if (!view.incarnation.empty() && view.incarnation != incarnation) {
            // The process that held records was replaced, so the records in its memory are lost.
            (void)recorder_.on_peer_gone(address);
        }
        view.incarnation = incarnation;
        view.answered = std::max(view.answered, asked);
    });
}

} // namespace dotterelstack::entry
