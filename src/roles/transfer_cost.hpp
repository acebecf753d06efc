#pragma once

#include <cstdint>

#include "base/clock.hpp"
#include "roles/fwd.hpp"

namespace dotterelstack::roles {

/** @brief What a transfer and a recomputation cost. */
struct transfer_settings {
    /** 2,400 GB/s of prompt KV cache at 8,100 requests/s are 296 MB per request, 74 kB per token at 4,000 tokens. */
    double bytes_per_token{74'000};
    /** Link of one accelerator within its failure domain (10 Gbit/s). Prompt KV cache is produced at 316 MB/s per
        accelerator on average, but at 814 MB/s by an engine that does prefill only. */
    double bytes_per_second{1.25e9};
    base::duration setup{std::chrono::milliseconds{5}};
    double prefill_tokens_per_second{6400}; /**< Of the receiving engine. */
    /** Recomputing also delays the other requests of the engine; weight of that time against the time of this one. */
    double engine_time_weight{1};
};

/** @brief One piece of cached state that could be moved to where a request continues. */
struct transfer_offer {
    std::uint32_t held_tokens{0};      /**< Prompt tokens cached at the source. */
    std::uint32_t hit_tokens{0};       /**< Of these, already cached at the destination. */
    std::uint32_t active_transfers{0}; /**< Others that share the accelerator's bandwidth at either end. */
    base::duration overlap{0};         /**< Time in which layers are sent while the prompt is still processed. */
    base::duration prefill_backlog{0}; /**< Prefill work queued at the destination. */
    bool same_failure_domain{false};
};

/** @brief What to do with the state. */
enum class transfer_choice : std::uint8_t {
    move,
    recompute
};

struct transfer_plan {
    transfer_choice choice{transfer_choice::recompute};
    base::duration expected{0}; /**< Until the destination can go on. */
};

/** @brief Time to move the missing tokens. @return The part that remains after the overlap. */
[[nodiscard]] base::duration transfer_time(const transfer_settings &settings, const transfer_offer &offer) noexcept;

/** @brief Time to compute the missing tokens at the destination, its backlog included. */
[[nodiscard]] base::duration recompute_time(const transfer_settings &settings, const transfer_offer &offer) noexcept;

/**
 * @brief Decides by time, that of the engine included. State never leaves its failure domain.
 * @param settings Rates.
 * @param offer The state.
 * @return The cheaper of the two and its expected time.
 */
[[nodiscard]] transfer_plan plan_transfer(const transfer_settings &settings, const transfer_offer &offer) noexcept;

} // namespace dotterelstack::roles
