#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "routing/fwd.hpp"

namespace dotterelstack::routing {

/** @brief One cache event of an engine. The events of an engine have consecutive numbers. */
struct cache_event {
    enum class kind : std::uint8_t {
        stored,
        evicted,
        cleared
    };

    std::uint64_t seq{0};
    kind what{kind::stored};
    std::span<const std::uint64_t> blocks; /**< Prefix block hashes. */
};

/** @brief A backend server that probably holds the first `blocks` blocks of a prompt. */
struct prefix_match {
    std::uint16_t backend{0};
    std::uint16_t blocks{0};
};

/**
 * @brief Index of the backend servers that probably cache given prompt prefixes. All entries are hints: a wrong one
 * costs the time to compute the prefix again.
 *
 * A block hash covers the prompt from its start to the end of that block, so that one hash identifies a whole prefix.
 * Memory is allocated once, for a set-associative table of 32-byte entries with up to `holders_per_block` holders each.
 * A full set replaces its least recently used entry.
 */
class prefix_index {
public:
    static constexpr std::size_t holders_per_block = 5;
    static constexpr std::size_t ways = 8;
    static constexpr std::size_t max_matches = 8;

    using matches = std::array<prefix_match, max_matches>;

    /** @param capacity Maximum number of blocks; rounded up to a power of two, at least `ways`. */
    explicit prefix_index(std::size_t capacity);

    /** @brief Records that a backend server holds, or is about to hold, these blocks. */
    void add(std::uint16_t backend, std::span<const std::uint64_t> blocks);

    /** @brief Removes one block of one backend server. */
    void remove(std::uint16_t backend, std::uint64_t block) noexcept;

    /** @brief Removes all blocks and the event number of a backend server. Constant time. */
    void forget(std::uint16_t backend);

    /**
     * @brief Applies a cache event.
     *
     * Duplicate and late events are dropped. After a gap in the event numbers, any recorded block may have been
     * evicted, so that all blocks of the backend server are removed before the event is applied.
     * @return False when the event was dropped as a duplicate or as late.
     */
    bool apply(std::uint16_t backend, const cache_event &event);

    /**
     * @brief Finds holders of the longest known prefixes.
     * @param blocks Block hashes of the prompt, first block first.
     * @param out Receives the matches, in no particular order.
     * @return Number of matches.
     */
    std::size_t find(std::span<const std::uint64_t> blocks, matches &out) noexcept;

    /** @return Number of blocks with at least one valid holder. Scans the whole table; for tests and metrics. */
    [[nodiscard]] std::size_t size() const noexcept;

    /** @return Allocated bytes. */
    [[nodiscard]] std::size_t memory_bytes() const noexcept;

private:
    struct holder {
        std::uint16_t backend{0};
        std::uint16_t epoch{
            0}; /**< The holder is valid while this equals the epoch of the backend server; 0 is never valid. */
    };

    struct entry {
        std::uint64_t block{0};
        std::array<holder, holders_per_block> holders{};
        std::uint32_t used{0};
    };

    struct source {
        std::uint64_t seq{0};
        std::uint16_t epoch{1};
        bool seen{false};
    };

    [[nodiscard]] std::span<entry> set_of(std::uint64_t block) noexcept;
    [[nodiscard]] entry *lookup(std::uint64_t block) noexcept;
    [[nodiscard]] bool valid(const holder &it) const noexcept;
    [[nodiscard]] source &event_source_of(std::uint16_t backend);
    void add_one(std::uint16_t backend, std::uint16_t epoch, std::uint64_t block) noexcept;
    static void advance_epoch(source &it) noexcept;

    std::vector<entry> entries_;
    std::vector<source> sources_;
    std::uint64_t set_mask_{0};
    std::uint32_t tick_{0};
};

} // namespace dotterelstack::routing
