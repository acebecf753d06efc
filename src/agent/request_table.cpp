#include "agent/request_table.hpp"

#include <algorithm>

namespace dotterelstack::agent {

request_table::request_table(const base::clock &time, std::string incarnation, base::duration retention)
    : clock_{time}, incarnation_{std::move(incarnation)}, retention_{retention} {}

admit_decision request_table::admit(std::string_view request, std::uint32_t attempt, std::string_view incarnation) {
    prune();
    if (incarnation != incarnation_) {
        return admit_decision::wrong_incarnation;
    }
    if (const auto it = entries_.find(request); it != entries_.end()) {
        if (it->second.attempts.contains(attempt)) {
            return admit_decision::duplicate;
        }
        if (it->second.is_cancelled) {
            return admit_decision::cancelled;
        }
    }
    if (draining_) {
        return admit_decision::draining;
    }
    touch(request).attempts.emplace(attempt, false);
    ++running_;
    return admit_decision::start;
}

void request_table::finish(std::string_view request, std::uint32_t attempt) {
    const auto it = entries_.find(request);
    if (it == entries_.end()) {
        return;
    }
    const auto found = it->second.attempts.find(attempt);
    if (found != it->second.attempts.end() && !found->second) {
        found->second = true;
        --running_;
        touch(request);
    }
}

cancel_outcome request_table::cancel(std::string_view request, std::string_view incarnation) {
    prune();
    if (incarnation != incarnation_) {
        return cancel_outcome::other_incarnation;
    }
    auto &it = touch(request);
    it.is_cancelled = true;
    if (it.attempts.empty()) {
        return cancel_outcome::never_starts;
    }
    const bool active = std::ranges::any_of(it.attempts, [](const auto &each) { return !each.second; });
    return active ? cancel_outcome::started : cancel_outcome::finished;
}

request_table::entry &request_table::touch(std::string_view request) {
    auto it = entries_.find(request);
    if (it == entries_.end()) {
        it = entries_.emplace(std::string{request}, entry{}).first;
    }
    it->second.touched = clock_.now();
    by_age_.emplace_back(it->second.touched, it->first);
    return it->second;
}

void request_table::prune() {
    const auto limit = clock_.now() - retention_;
    while (!by_age_.empty() && by_age_.front().first < limit) {
        const auto it = entries_.find(by_age_.front().second);
        by_age_.pop_front();
        if (it == entries_.end() || it->second.touched >= limit) {
            continue;
        }
        const bool active = std::ranges::any_of(it->second.attempts, [](const auto &each) { return !each.second; });
        if (!active) {
            entries_.erase(it);
        }
    }
}

} // namespace dotterelstack::agent
