#include "roles/capacity_planner.hpp"

#include <algorithm>
#include <cmath>

namespace dotterelstack::roles {

capacity_planner::capacity_planner(const base::clock &time, capacity_settings settings)
    : time_{time}, settings_{settings}, last_high_demand_{time.now()} {}

void capacity_planner::set_domain(std::string_view name, double price, bool usable) {
    auto &it = domains_[std::string{name}];
    it.price = price;
    it.usable = usable;
    count();
}

void capacity_planner::update_backend(const capacity_backend &facts) {
    backends_[facts.name].facts = facts;
    domains_[facts.failure_domain];
    count();
}

void capacity_planner::remove_backend(std::string_view name) {
    if (const auto it = backends_.find(name); it != backends_.end()) {
        backends_.erase(it);
        count();
    }
}

bool capacity_planner::busy(std::string_view name) const {
    const auto it = backends_.find(name);
    return it != backends_.end() && it->second.now != state::serving;
}

void capacity_planner::count() {
    for (auto &[name, it] : domains_) {
        it.serving = it.starting = it.present = 0;
    }
    for (const auto &[name, it] : backends_) {
        auto &in = domains_[it.facts.failure_domain];
        ++in.present;
        // A backend server that changes its role will serve again, so it counts as serving; an unhealthy one does not.
        in.serving += it.now == state::serving && it.facts.healthy && in.usable ? 1 : 0;
    }
    for (const auto &[number, it] : starts_) {
        ++domains_[it.failure_domain].starting;
    }
}

std::uint32_t capacity_planner::needed() const noexcept {
    return static_cast<std::uint32_t>(std::ceil(demand_ / settings_.target_utilisation));
}

std::uint32_t capacity_planner::needed_after_loss() const noexcept {
    return std::max(settings_.minimum_after_loss,
                    static_cast<std::uint32_t>(std::ceil(demand_ / settings_.degraded_utilisation)));
}

std::uint32_t capacity_planner::serving_after_loss() const {
    std::uint32_t total = 0;
    std::uint32_t largest = 0;
    for (const auto &[name, it] : domains_) {
        total += it.serving;
        largest = std::max(largest, it.serving);
    }
    return total - largest;
}

bool capacity_planner::has_capacity(bool with_starting, std::uint32_t spare) const {
    std::uint32_t total = 0;
    std::uint32_t largest = 0;
    for (const auto &[name, it] : domains_) {
        const auto n = it.serving + (with_starting ? it.starting : 0);
        total += n;
        largest = std::max(largest, n);
    }
    return total >= needed() + spare && total - largest >= needed_after_loss() + spare;
}

capacity_planner::domain *capacity_planner::choose_domain(std::string &name) {
    domain *best = nullptr;
    for (auto &[domain_name, it] : domains_) {
        if (!it.usable || it.present + it.starting >= settings_.limit_per_domain) {
            continue;
        }
        // Prefer the smallest domain, because only that increases the capacity left after a loss; then the lowest
        // price.
        const auto size = it.serving + it.starting;
        if (best == nullptr || size < best->serving + best->starting ||
            (size == best->serving + best->starting && it.price < best->price)) {
            best = &it;
            name = domain_name;
        }
    }
    return best;
}

void capacity_planner::add_starts(std::vector<capacity_action> &out) {
    while (!has_capacity(true, 0) && starts_.size() < settings_.starts_at_once) {
        std::string name;
        if (choose_domain(name) == nullptr) {
            return;
        }
        const auto number = next_order_++;
        starts_[number] = {name};
        out.push_back({capacity_action::kind::start, name, {}, number});
        count();
    }
}

void capacity_planner::cancel_drains(std::vector<capacity_action> &out) {
    for (auto &[name, it] : backends_) {
        if (has_capacity(false, 0)) {
            return;
        }
        if (it.now == state::draining && domains_[it.facts.failure_domain].usable) {
            it.now = state::serving;
            out.push_back({capacity_action::kind::cancel_drain, it.facts.failure_domain, name, 0});
            count();
        }
    }
}

void capacity_planner::stop_drained(std::vector<capacity_action> &out) {
    for (auto &[name, it] : backends_) {
        if (it.now == state::draining && it.facts.outstanding == 0 && !it.facts.busy) {
            it.now = state::stopping;
            it.order = next_order_++;
            out.push_back({capacity_action::kind::stop, it.facts.failure_domain, name, it.order});
        }
    }
}

void capacity_planner::add_drain(std::vector<capacity_action> &out) {
    const bool draining =
        std::any_of(backends_.begin(), backends_.end(), [](const auto &it) { return it.second.now != state::serving; });
    if (draining || !starts_.empty() || time_.now() - last_high_demand_ < settings_.release_after) {
        return;
    }
    backend *best = nullptr;
    double best_rank = 0;
    for (auto &[name, it] : backends_) {
        if (it.now != state::serving || it.facts.busy || !it.facts.healthy) {
            continue;
        }
        it.now = state::draining;
        count();
        const bool allowed = has_capacity(false, settings_.spare);
        it.now = state::serving;
        // Prefer the most expensive one; among equal prices, the one with the fewest requests, which drains first.
        const auto rank = domains_[it.facts.failure_domain].price - 1e-6 * it.facts.outstanding;
        if (allowed && (best == nullptr || rank > best_rank)) {
            best = &it;
            best_rank = rank;
        }
    }
    if (best != nullptr) {
        best->now = state::draining;
        out.push_back({capacity_action::kind::drain, best->facts.failure_domain, best->facts.name, 0});
    }
    count();
}

std::vector<capacity_action> capacity_planner::decide() {
    std::vector<capacity_action> out;
    count();
    if (!has_capacity(false, settings_.spare + 1)) {
        last_high_demand_ = time_.now();
    }
    cancel_drains(out);
    if (out.empty()) {
        stop_drained(out);
    }
    add_starts(out);
    if (out.empty()) {
        add_drain(out);
    }
    return out;
}

void capacity_planner::order_settled(std::uint64_t order, order_outcome outcome) {
    if (const auto start = starts_.find(order); start != starts_.end()) {
        if (outcome != order_outcome::unknown) {
            starts_.erase(start);
        }
        count();
        return;
    }
    for (auto &[name, it] : backends_) {
        if (it.order == order && order != 0 && (it.now == state::stopping || it.now == state::unknown)) {
            if (outcome == order_outcome::done) {
                backends_.erase(name);
            } else {
                it.now = outcome == order_outcome::rejected ? state::draining : state::unknown;
            }
            count();
            return;
        }
    }
}

} // namespace dotterelstack::roles
