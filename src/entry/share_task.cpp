#include "entry/share_task.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/interruptible_wait.hpp"
#include "base/json_message.hpp"
#include "store/settled_write.hpp"

namespace dotterelstack::entry {

using nlohmann::json;

namespace internal {

std::set<std::string> names_of(const std::vector<limits::share_member> &members) {
    std::set<std::string> out;
    for (const auto &it : members) {
        out.insert(it.entry);
    }
    return out;
}

std::uint64_t divisor_of(const limits::share_epoch &epoch) noexcept {
    return epoch.members.empty() ? 0 : epoch.members.front().divisor;
}

} // namespace internal

share_task::share_task(const settings::entry_timings &timings, share_task_options options, dependencies with)
    : options_{std::move(options)}, deps_{std::move(with)}, lease_{lease_settings_of(timings, "shares",
                                                                                     options_.incarnation),
                                                                   deps_.time, deps_.store, deps_.ids,
                                                                   deps_.candidate} {}

share_task::~share_task() {
    stop();
}

void share_task::start(std::string address) {
    address_ = std::move(address);
    lease_.start();
    thread_ = std::jthread{[this](const std::stop_token &token) { run(token); }};
}

void share_task::stop() {
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
    lease_.stop();
}

std::optional<lease::authority_check> share_task::authority() const {
    auto out = lease_.authority();
    const std::scoped_lock lock{mutex_};
    return out && established_ == out->fence() ? out : std::nullopt;
}

void share_task::run(const std::stop_token &token) {
    while (!token.stop_requested()) {
        if (const auto authority = lease_.authority()) {
            ask_entries();
            update_epoch(*authority);
        } else {
            const std::scoped_lock lock{mutex_};
            established_.reset();
            term_started_ = {};
        }
        base::wait_unless_stopped(token, options_.interval);
    }
}

void share_task::ask_entries() {
    const auto peers = deps_.peers();
    std::vector<std::string> to_ask;
    {
        const std::scoped_lock lock{mutex_};
        for (const auto &it : peers) {
            auto &view = views_[it.address];
            view.leaving = !it.live && !it.host.empty();
            if (!std::exchange(view.asked, true)) {
                to_ask.push_back(it.address);
            }
        }
    }
    const auto asked = deps_.time.now();
    for (const auto &address : to_ask) {
        deps_.calls.call(
            address, {"GET", "/status", {}, ""}, [this, address, asked](const base::result<http::response> &answer) {
                const auto body =
                    answer && answer.value().status == 200 ? base::parse_message(answer.value().body) : json{};
                const std::scoped_lock lock{mutex_};
                auto &view = views_[address];
                view.asked = false;
                if (body.is_object()) {
                    view.incarnation = base::field_or(body, "incarnation", std::string{});
                    view.host = base::field_or(body, "name", std::string{});
                    view.applied = base::field_or(body, "share_epoch", std::uint64_t{0});
                    view.answered = asked;
                }
            });
    }
}

void share_task::update_epoch(const lease::authority_check &authority) {
    const auto now = deps_.time.now();
    if (term_started_ == base::instant{}) {
        term_started_ = now;
        current_.reset();
    }
    if (!current_) {
        const auto found = deps_.store.get(share_epoch_key);
        if (!found) {
            return;
        }
        epoch_object read;
        if (found.value()) {
            const auto parsed = parse_epoch(*found.value());
            if (!parsed) {
                return;
            }
            read = parsed.value();
        }
        current_ = std::move(read);
    }
    bool established = false;
    {
        const std::scoped_lock lock{mutex_};
        established = established_ == authority.fence();
    }
    const auto planned = plan(*current_);
    if (is_epoch_needed(*current_, planned)) {
        write(authority, planned);
    } else if (!established) {
        // Writing the same epoch again shows that the read was not stale, and records this entry as the one that
        // confirms it.
        auto rewritten = *current_;
        rewritten.confirmer = address_;
        write(authority, rewritten);
    }
}

epoch_object share_task::plan(const epoch_object &current) const {
    const auto now = deps_.time.now();
    const auto members = internal::names_of(current.epoch.members);
    epoch_object out;
    out.confirmer = address_;
    out.version = current.version;
    std::set<std::string> entries{options_.incarnation};
    std::set<std::string> applied;
    std::map<std::string, std::string> present; // Incarnation by host.
    out.locations[options_.incarnation] = {options_.host, address_};
    present[options_.host] = options_.incarnation;
    if (deps_.applied() >= current.epoch.number) {
        applied.insert(options_.incarnation);
    }
    const std::scoped_lock lock{mutex_};
    for (const auto &[address, it] : views_) {
        if (it.incarnation.empty()) {
            continue;
        }
        const auto age = now - it.answered;
        const bool known = members.contains(it.incarnation);
        if (age <= (known ? options_.member_timeout : options_.join_status_max_age) &&
            !(it.leaving && age > options_.join_status_max_age)) {
            entries.insert(it.incarnation);
            out.locations[it.incarnation] = {it.host, address};
            present[it.host] = it.incarnation;
        }
        if (it.applied >= current.epoch.number) {
            applied.insert(it.incarnation);
        }
    }
    std::vector<std::string> ended;
    for (const auto &[entry, location] : current.locations) {
        const auto found = present.find(location.host);
        const bool replaced = found != present.end() && found->second != entry;
        if (replaced) {
            ended.push_back(entry);
        } else if (members.contains(entry) && now - term_started_ < options_.member_timeout) {
            // A new lease holder has not yet had the time to receive the status of every member.
            entries.insert(entry);
        }
        out.locations.try_emplace(entry, location);
    }
    const std::vector<std::string> entry_list{entries.begin(), entries.end()};
    const std::vector<std::string> applied_list{applied.begin(), applied.end()};
    out.epoch = limits::plan_epoch(current.epoch, entry_list, applied_list, ended);
    auto listed = internal::names_of(out.epoch.members);
    listed.merge(internal::names_of(out.epoch.outstanding));
    std::erase_if(out.locations, [&listed](const auto &it) { return !listed.contains(it.first); });
    return out;
}

bool share_task::is_epoch_needed(const epoch_object &current, const epoch_object &planned) const {
    if (internal::names_of(current.epoch.members) != internal::names_of(planned.epoch.members)) {
        return true;
    }
    const auto before = internal::divisor_of(current.epoch);
    const auto after = internal::divisor_of(planned.epoch);
    const bool raises = after != 0 && (before == 0 || after < before);
    return raises && deps_.time.now() - epoch_written_ > options_.min_raise_interval;
}

void share_task::write(const lease::authority_check &authority, const epoch_object &value) {
    if (!authority()) {
        return;
    }
    {
        // No epoch is confirmed from before the write until its outcome is known, as new coordinators count the
        // settling time from the moment at which they first see the new epoch.
        const std::scoped_lock lock{mutex_};
        established_.reset();
    }
    const auto written = store::settled_write(deps_.store, deps_.ids, share_epoch_key, to_json(value), value.version);
    if (!written) {
        // Another holder may have written; read the epoch again from the store.
        current_.reset();
        return;
    }
    epoch_written_ = deps_.time.now();
    current_ = value;
    current_->version = written.value();
    deps_.on_epoch(*current_);
    const std::scoped_lock lock{mutex_};
    established_ = authority.fence();
}

} // namespace dotterelstack::entry
