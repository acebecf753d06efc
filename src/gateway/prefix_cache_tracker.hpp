#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "gateway/request_facts.hpp"

namespace dotterelstack::gateway {

/**
 * @brief Tracks which shared prompt segments this gateway has recently sent to which engine. Not thread-safe.
 */
class prefix_cache_tracker {
public:
    /** @param time Clock; must outlive this object. @param ttl Time for which an unused segment is assumed to stay
     * cached. */
    prefix_cache_tracker(const base::clock &time, base::duration ttl);

    /** @brief Records that the engine has prefilled the prompt. */
    void record(std::string_view engine, std::span<const prompt_part> prompt);

    /** @return Number of leading prompt tokens that the engine probably has cached. */
    [[nodiscard]] std::uint32_t cached(std::string_view engine, std::span<const prompt_part> prompt) const;

    /** @brief Drops segments whose time to live has passed. Call it about once a second. */
    void expire();

private:
    using part_times = std::unordered_map<std::uint64_t, base::instant>;

    const base::clock &time_;
    const base::duration ttl_;
    std::map<std::string, part_times, std::less<>> engines_;
};

/**
 * @brief Hash of the shared prefix of a prompt: equal for prompts that should run at the same engine.
 * @param min_tokens Prompts with a shorter shared prefix have no key.
 * @return The key, or 0.
 */
[[nodiscard]] std::uint64_t shared_prefix_key(std::span<const prompt_part> prompt, std::uint32_t min_tokens) noexcept;

/** @return Hash of an engine's id for `rendezvous_rank`. */
[[nodiscard]] std::uint64_t engine_hash(std::string_view id) noexcept;

/** @return Rendezvous-hashing weight of an engine for a key, equal at all gateways. The highest is the home. */
[[nodiscard]] std::uint64_t rendezvous_rank(std::uint64_t key, std::uint64_t engine) noexcept;

/**
 * @brief Rank of an engine that is the home of a part of the prefixes in proportion to its weight. A change of one
 * weight moves prefixes from or to that engine only; with equal weights the order is that of `rendezvous_rank`.
 * @param rank From `rendezvous_rank`. @param weight Above 0.
 * @return Value in [0, 1]; the highest is the home.
 */
[[nodiscard]] double weighted_rank(std::uint64_t rank, double weight) noexcept;

} // namespace dotterelstack::gateway
