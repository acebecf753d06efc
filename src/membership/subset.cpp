#include "membership/subset.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

#include "spread/topology.hpp"

namespace dotterelstack::membership {

std::vector<std::size_t> divide_reports(std::span<const service_agents> services, std::size_t limit) {
    std::size_t all = 0;
    for (const auto &it : services) {
        all += it.agents.size();
    }
    std::vector<std::size_t> out;
    if (all <= limit) {
        for (const auto &it : services) {
            out.push_back(it.agents.size());
        }
        return out;
    }
    // One for each service first, then the rest in proportion, rounded down.
    const auto rest = limit > services.size() ? limit - services.size() : 0;
    for (const auto &it : services) {
        out.push_back(std::min(it.agents.size(), 1 + rest * it.agents.size() / all));
    }
    return out;
}

std::vector<std::string> choose_subset(std::string_view self, std::span<const std::string> entries,
                                       const service_agents &service, std::size_t per_entry) {
    std::vector<std::string> out;
    if (entries.empty() || service.agents.empty()) {
        return out;
    }
    const auto copies = std::clamp<std::size_t>(per_entry * entries.size() / service.agents.size(), 1, entries.size());
    // Entries below the mean go first, so that none is left without an agent of the service.
    const auto mean = service.agents.size() * copies / entries.size();
    std::vector<std::size_t> assigned(entries.size());
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked(entries.size());
    for (const auto &agent : service.agents) {
        for (std::size_t n = 0; n < entries.size(); ++n) {
            const std::uint64_t preference = assigned[n] < mean ? 2 : assigned[n] < per_entry ? 1 : 0;
            const auto score = spread::rendezvous_score(agent, entries[n]) >> 2U;
            ranked[n] = {preference == 0 ? 0 : (preference << 62U) | score, n};
        }
        std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(copies), std::greater<>{});
        for (std::size_t n = 0; n < copies && ranked[n].first != 0; ++n) {
            ++assigned[ranked[n].second];
            if (entries[ranked[n].second] == self) {
                out.push_back(agent);
            }
        }
    }
    return out;
}

} // namespace dotterelstack::membership
