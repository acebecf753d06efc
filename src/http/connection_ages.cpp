#include "http/connection_ages.hpp"

namespace dotterelstack::http {

std::list<int> *connection_ages::list_of(connection_phase phase) noexcept {
    if (phase == connection_phase::idle) {
        return &idle_;
    }
    return phase == connection_phase::reading_head ? &reading_head_ : nullptr;
}

void connection_ages::enter(int id, connection_phase phase) {
    auto &it = entries_[id];
    if (it.phase == connection_phase::closing) {
        return;
    }
    if (auto *list = list_of(it.phase)) {
        list->erase(it.position);
    }
    it.phase = phase;
    it.since = time_.now();
    if (auto *list = list_of(phase)) {
        it.position = list->insert(list->end(), id);
    }
}

void connection_ages::remove(int id) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    if (auto *list = list_of(found->second.phase)) {
        list->erase(found->second.position);
    }
    entries_.erase(found);
}

connection_phase connection_ages::phase(int id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? connection_phase::closing : found->second.phase;
}

std::optional<int> connection_ages::overdue_in(const std::list<int> &all, base::duration limit) const {
    const bool due = limit > base::duration{0} && !all.empty() && time_.now() - entries_.at(all.front()).since > limit;
    return due ? std::optional{all.front()} : std::nullopt;
}

std::optional<int> connection_ages::overdue(const phase_limits &limits) const {
    const auto idle = overdue_in(idle_, limits.idle);
    return idle ? idle : overdue_in(reading_head_, limits.reading_head);
}

} // namespace dotterelstack::http
