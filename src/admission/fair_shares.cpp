#include "admission/fair_shares.hpp"

#include <algorithm>

namespace dotterelstack::admission {

double fair_shares::arrive(std::string_view service, std::string_view organisation, double work) {
    auto found = services_.find(service);
    if (found == services_.end()) {
        found = services_.emplace(std::string{service}, service_state{}).first;
    }
    auto &state = found->second;
    auto it = state.finish.find(organisation);
    if (it == state.finish.end()) {
        it = state.finish.emplace(std::string{organisation}, state.virtual_time).first;
    }
    const double start = std::max(it->second, state.virtual_time);
    it->second = start + std::max(0.0, work);
    return start;
}

void fair_shares::place(std::string_view service, double start) {
    if (const auto it = services_.find(service); it != services_.end()) {
        it->second.virtual_time = std::max(it->second.virtual_time, start);
    }
}

void fair_shares::withdraw(std::string_view service, std::string_view organisation, double work) {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return;
    }
    if (const auto it = found->second.finish.find(organisation); it != found->second.finish.end()) {
        it->second -= std::max(0.0, work);
    }
}

void fair_shares::expire() {
    for (auto &[service, state] : services_) {
        std::erase_if(state.finish, [&state = state](const auto &it) { return it.second <= state.virtual_time; });
    }
}

std::size_t fair_shares::size(std::string_view service) const {
    const auto it = services_.find(service);
    return it == services_.end() ? 0 : it->second.finish.size();
}

} // namespace dotterelstack::admission
