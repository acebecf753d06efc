#include "spread/topology.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "base/stable_hash.hpp"

namespace dotterelstack::spread {

namespace internal {

// FNV-1a gives similar names similar high bits; the finaliser of MurmurHash3 distributes them.
std::uint64_t finalise(std::uint64_t it) noexcept {
    it = (it ^ (it >> 33U)) * 0xff51afd7ed558ccdULL;
    it = (it ^ (it >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return it ^ (it >> 33U);
}

using scored = std::pair<std::uint64_t, const process *>;

std::vector<scored> rank(std::string_view key, std::span<const process *const> candidates) {
    std::vector<scored> out;
    out.reserve(candidates.size());
    for (const auto *it : candidates) {
        out.emplace_back(rendezvous_score(key, it->address), it);
    }
    std::ranges::sort(out, [](const scored &left, const scored &right) {
        return std::pair{right.first, std::string_view{left.second->address}} <
               std::pair{left.first, std::string_view{right.second->address}};
    });
    return out;
}

} // namespace internal

std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate) noexcept {
    const auto state = base::fnv1a(candidate, base::fnv1a(key) * base::fnv_prime);
    return internal::finalise(state);
}

std::vector<process> choose_relays(std::span<const process> entries) {
    std::map<std::string_view, std::vector<const process *>> domains;
    for (const auto &it : entries) {
        domains[it.failure_domain].push_back(&it);
    }
    std::vector<process> out;
    for (const auto &[domain, members] : domains) {
        const auto ranked = internal::rank("relay", members);
        const auto wanted = std::clamp<std::size_t>(members.size() / entries_per_relay, 1, max_relays_per_domain);
        for (std::size_t n = 0; n < wanted; ++n) {
            out.push_back(*ranked[n].second);
        }
    }
    std::ranges::sort(out, {}, &process::address);
    return out;
}

std::vector<std::string> order_sources(const process &self, process_role role, std::span<const process> entries) {
    const auto relays = choose_relays(entries);
    const auto is_relay = [&](const process &it) {
        return std::ranges::binary_search(relays, it.address, {}, &process::address);
    };
    std::vector<const process *> preferred;
    std::vector<const process *> rest;
    for (const auto &it : entries) {
        if (it.address != self.address) {
            (is_relay(it) == (role == process_role::entry) ? preferred : rest).push_back(&it);
        }
    }
    std::vector<std::string> out;
    for (const auto &group : {preferred, rest}) {
        std::vector<const process *> near;
        std::vector<const process *> far;
        for (const auto *it : group) {
            (it->failure_domain == self.failure_domain ? near : far).push_back(it);
        }
        const auto first = internal::rank(self.address, near);
        const auto second = internal::rank(self.address, far);
        for (std::size_t n = 0; n < std::max(first.size(), second.size()); ++n) {
            if (n < first.size()) {
                out.push_back(first[n].second->address);
            }
            if (n < second.size()) {
                out.push_back(second[n].second->address);
            }
        }
    }
    return out;
}

} // namespace dotterelstack::spread
