#include "http/connection_ages.hpp"

namespace dotterelstack::http {

std::list<int> *connection_ages::list_of(connection_phase phase) noexcept {
    const auto n = static_cast<std::size_t>(phase);
    return n < lists_.size() ? &lists_.at(n) : nullptr;
}

void connection_ages::enter(int id, connection_phase phase) {
    auto &it = entries_[id];
    if (it.phase == connection_phase::closing) {
        return;
    }
    auto *from = list_of(it.phase);
    auto *to = list_of(phase);
    if (from != nullptr && to != nullptr) {
        to->splice(to->end(), *from, it.position);
    } else if (from != nullptr) {
        from->erase(it.position);
    } else if (to != nullptr) {
        it.position = to->insert(to->end(), id);
    }
    closing_ += phase == connection_phase::closing ? 1 : 0;
    it.phase = phase;
    it.since = time_.now();
}

void connection_ages::remove(int id) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    if (auto *list = list_of(found->second.phase)) {
        list->erase(found->second.position);
    }
    closing_ -= found->second.phase == connection_phase::closing ? 1 : 0;
    entries_.erase(found);
}

connection_phase connection_ages::phase(int id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? connection_phase::closing : found->second.phase;
}

std::optional<int> connection_ages::stalled(connection_phase phase, base::duration limit) const {
    const auto &all = in(phase);
    const bool due = !all.empty() && time_.now() - entries_.at(all.front()).since > limit;
    return due ? std::optional{all.front()} : std::nullopt;
}

std::optional<int> connection_ages::overdue(const phase_limits &limits) const {
    const std::array<base::duration, timed_phases> all{limits.idle, limits.reading_head, limits.reading_body,
                                                       limits.answering};
    for (std::size_t n = 0; n < all.size(); ++n) {
        const auto found =
            all.at(n) > base::duration{0} ? stalled(static_cast<connection_phase>(n), all.at(n)) : std::nullopt;
        if (found) {
            return found;
        }
    }
    return std::nullopt;
}

} // namespace dotterelstack::http
