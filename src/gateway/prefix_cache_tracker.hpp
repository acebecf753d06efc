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
 * @brief Remembers which shared parts of prompts this gateway has lately sent to which engine. Not thread-safe.
 */
class prefix_cache_tracker {
public:
    /** @param time Clock; must outlive this object. @param life How long a part is taken to stay cached unused. */
    prefix_cache_tracker(const base::clock &time, base::duration life);

    /** @brief The engine has read the prompt. */
    void note(std::string_view engine, std::span<const prompt_part> prompt);

    /** @return Leading tokens of the prompt that the engine has probably cached. */
    [[nodiscard]] std::uint32_t cached(std::string_view engine, std::span<const prompt_part> prompt) const;

    /** @brief Drops parts that have not been used for the life time. Call it about once a second. */
    void expire();

private:
    using part_times = std::unordered_map<std::uint64_t, base::instant>;

    const base::clock &time_;
    const base::duration life_;
    std::map<std::string, part_times, std::less<>> engines_;
};

/**
 * @brief Key of the shared state of a prompt: equal for prompts that should be read by the same engine.
 * @param least_tokens Prompts that share less have no key.
 * @return The key, or 0.
 */
[[nodiscard]] std::uint64_t shared_prefix_key(std::span<const prompt_part> prompt, std::uint32_t least_tokens) noexcept;

/** @return Rank of an engine for a key by rendezvous hashing; all gateways agree on it. The highest is the home. */
[[nodiscard]] std::uint64_t rendezvous_rank(std::uint64_t key, std::string_view engine) noexcept;

} // namespace dotterelstack::gateway
