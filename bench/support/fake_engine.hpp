#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "routing/backend.hpp"

namespace dotterelstack::bench {

using routing::backend_role;

/** @brief Rates of a fake engine. Chosen so that a mixed engine keeps 44 ms between tokens with a full batch. */
struct engine_rates {
    double step_seconds{0.012};               /**< Of an empty step. */
    double prefill_tokens_per_second{12'000}; /**< Without the other costs of the step. */
    double decode_seconds{0.00015};           /**< Per running response in a step. */
    std::uint32_t batch_limit{64};
    std::uint32_t total_blocks{240};
    std::uint32_t block_tokens{1000};
    std::size_t cached_blocks{120};        /**< Capacity of the prefix cache. */
    std::uint32_t chunk[3]{256, 4096, 64}; /**< Prefill tokens per step, by role. */
};

/** @brief Work at an engine. */
struct engine_job {
    std::uint64_t id{0};
    std::uint32_t prompt{0};
    std::uint32_t output{0};                 /**< Tokens to generate. */
    std::span<const std::uint64_t> blocks{}; /**< Prefix block hashes; must outlive the job. */
    std::uint32_t prefill_left{0};
    std::uint32_t produced{0};
    bool state_moved{false}; /**< The prompt's state was moved here; nothing to compute. */
};

/** @brief What happened at the end of a step. */
struct engine_event {
    std::uint64_t id{0};
    bool last{false};
};

/** @brief Continuous batching with chunked prefill, a batch limit, memory in blocks and a prefix cache (LRU). */
class fake_engine {
public:
    explicit fake_engine(engine_rates rates) : rates_{rates} {}

    void submit(engine_job job) { queue_.push_back(job); }

    /** @brief Admits queued jobs and plans a step. @return Its duration; zero when there is nothing to do. */
    [[nodiscard]] base::duration begin_step(backend_role role);

    /** @brief Ends the planned step. @return A token for each entry. */
    [[nodiscard]] std::vector<engine_event> end_step();

    /** @brief Drops all work and the cache. @return Ids of the dropped jobs. */
    std::vector<std::uint64_t> crash();

    [[nodiscard]] bool idle() const noexcept { return running_.empty() && queue_.empty(); }
    [[nodiscard]] routing::load_report report() const;

    /** @brief Cache changes since the last call, in order. */
    struct cache_change {
        std::uint64_t block{0};
        bool stored{false};
    };
    [[nodiscard]] std::vector<cache_change> take_cache_changes() { return std::exchange(changes_, {}); }

private:
    [[nodiscard]] std::uint32_t blocks_of(const engine_job &job) const noexcept;
    [[nodiscard]] std::uint32_t hit_tokens(std::span<const std::uint64_t> blocks);
    void admit();
    void remember(std::span<const std::uint64_t> blocks);

    engine_rates rates_;
    std::deque<engine_job> queue_;
    std::vector<engine_job> running_;
    std::vector<std::uint32_t> planned_;
    std::uint32_t used_blocks_{0};
    std::list<std::uint64_t> lru_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached_;
    std::vector<cache_change> changes_;
};

} // namespace dotterelstack::bench
