#pragma once

#include <cstdint>

#include "base/clock.hpp"
#include "roles/fwd.hpp"

namespace dotterelstack::roles {

/** @brief Parameters for the cost of a transfer and of a recomputation. */
struct transfer_settings {
    /** 2,400 GB/s of prompt KV cache at 8,100 requests/s are 296 MB per request, 74 kB per token at 4,000 tokens. */
    double bytes_per_token{74'000};
    /** Link of one accelerator within its failure domain (10 Gbit/s). An accelerator produces prompt KV cache at
        316 MB/s on average, but at 814 MB/s in an engine that only does prefill. */
    double bytes_per_second{1.25e9};
    base::duration setup{std::chrono::milliseconds{5}};
    double prefill_tokens_per_second{6400}; /**< Of the receiving engine. */
    /** Weight of the engine time used by a recomputation, which also delays the engine's other requests, relative to
        the time of this request. */
    double engine_time_weight{1};
};

/** @brief Cached state that could be moved to the engine at which a request continues. */
struct transfer_offer {
    std::uint32_t held_tokens{0};      /**< Prompt tokens cached at the source. */
    std::uint32_t hit_tokens{0};       /**< Those of them that are already cached at the destination. */
    std::uint32_t active_transfers{0}; /**< Other transfers that share the accelerator's bandwidth at either end. */
    base::duration overlap{0}; /**< Time during which layers are sent while the prompt is still being processed. */
    base::duration prefill_backlog{0}; /**< Prefill work queued at the destination. */
    bool same_failure_domain{false};
};

/** @brief How the destination obtains the state. */
enum class transfer_choice : std::uint8_t {
    move,
    recompute
};

struct transfer_plan {
    transfer_choice choice{transfer_choice::recompute};
    base::duration expected{0}; /**< Time until the destination can continue. */
};

/** @brief Time to move the state of the missing tokens. @return Set-up time plus the part not covered by the overlap.
 */
[[nodiscard]] base::duration transfer_time(const transfer_settings &settings, const transfer_offer &offer) noexcept;

/** @brief Time to compute the missing tokens at the destination, including its backlog. */
[[nodiscard]] base::duration recompute_time(const transfer_settings &settings, const transfer_offer &offer) noexcept;

/**
 * @brief Chooses the cheaper way by time, including engine time. State is never moved to another failure domain.
 * @param settings Cost parameters.
 * @param offer The state.
 * @return The cheaper choice and its expected time.
 */
[[nodiscard]] transfer_plan plan_transfer(const transfer_settings &settings, const transfer_offer &offer) noexcept;

} // namespace dotterelstack::roles
