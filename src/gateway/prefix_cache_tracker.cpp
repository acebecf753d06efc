#include "gateway/prefix_cache_tracker.hpp"

#include <cmath>
#include <limits>

#include "base/stable_hash.hpp"

namespace dotterelstack::gateway {

namespace internal {

// Finaliser of splitmix64. All gateways must compute the same values.
constexpr std::uint64_t mix(std::uint64_t it) noexcept {
    it = (it ^ (it >> 30U)) * 0xbf58476d1ce4e5b9U;
    it = (it ^ (it >> 27U)) * 0x94d049bb133111ebU;
    return it ^ (it >> 31U);
}

} // namespace internal

prefix_cache_tracker::prefix_cache_tracker(const base::clock &time, base::duration ttl) : time_{time}, ttl_{ttl} {}

void prefix_cache_tracker::record(std::string_view engine, std::span<const prompt_part> prompt) {
    if (prompt.size() < 2) {
        return;
    }
    auto it = engines_.find(engine);
    if (it == engines_.end()) {
        it = engines_.emplace(std::string{engine}, part_times{}).first;
    }
    for (const auto &part : prompt.first(prompt.size() - 1)) {
        it->second[part.id] = time_.now();
    }
}

std::uint32_t prefix_cache_tracker::cached(std::string_view engine, std::span<const prompt_part> prompt) const {
    const auto it = engines_.find(engine);
    if (it == engines_.end()) {
        return 0;
    }
    const auto oldest = time_.now() - ttl_;
    std::uint32_t out = 0;
    for (const auto &part : prompt) {
        const auto found = it->second.find(part.id);
        if (found == it->second.end() || found->second < oldest) {
            break;
        }
        out += part.tokens;
    }
    return out;
}

void prefix_cache_tracker::expire() {
    const auto oldest = time_.now() - ttl_;
    for (auto &[engine, parts] : engines_) {
        std::erase_if(parts, [oldest](const auto &it) { return it.second < oldest; });
    }
    std::erase_if(engines_, [](const auto &it) { return it.second.empty(); });
}

std::uint64_t shared_prefix_key(std::span<const prompt_part> prompt, std::uint32_t min_tokens) noexcept {
    if (prompt.size() < 2) {
        return 0;
    }
    std::uint64_t tokens = 0;
    std::uint64_t out = 0;
    for (const auto &it : prompt.first(prompt.size() - 1)) {
        tokens += it.tokens;
        out = internal::mix(out ^ it.id);
        if (tokens >= min_tokens) {
            return out == 0 ? 1 : out;
        }
    }
    return 0;
}

std::uint64_t engine_hash(std::string_view id) noexcept {
    return internal::mix(base::fnv1a(id));
}

std::uint64_t rendezvous_rank(std::uint64_t key, std::uint64_t engine) noexcept {
    return internal::mix(key ^ engine);
}

double weighted_rank(std::uint64_t rank, double weight) noexcept {
    // With u uniform in [0, 1], u^(1/w) has the order of -w / ln(u); engines of weight 1 need no power.
    const double uniform = std::ldexp(static_cast<double>(rank), -std::numeric_limits<std::uint64_t>::digits);
    return weight == 1 ? uniform : std::pow(uniform, 1 / weight);
}

} // namespace dotterelstack::gateway
