#pragma once

#include <string>
#include <vector>

#include "bench/support/workload.hpp"
#include "roles/capacity_planner.hpp"
#include "roles/role_planner.hpp"
#include "roles/transfer_cost.hpp"
#include "routing/router.hpp"

namespace dotterelstack::bench {

/** @brief How an entry picks a backend server. */
enum class pick_rule : std::uint8_t {
    router,
    round_robin,
    least_reported
};

/** @brief One line of the table. */
struct policy {
    std::string name;
    pick_rule pick{pick_rule::router};
    bool fair{true};
    int prefill_engines{0}; /**< At the start; the others are mixed. */
    int decode_engines{0};
    bool plan_roles{false};
    bool plan_capacity{false};
    routing::router_settings routing{};
    roles::role_settings roles{};
    roles::transfer_settings transfer{};
};

/** @brief Measured figures of one run. */
struct replay_result {
    double goodput{0};         /**< Share of the requests within both targets. */
    double first_token_p95{0}; /**< Seconds; requests without a first token count as infinite. */
    double gaps_kept{0};       /**< Share of the requests with 44 ms at the 95th percentile of their gaps. */
    int role_changes{0};
    double worst_service{0};  /**< Tokens within the targets over the fair share, of the worst organisation. */
    double engine_seconds{0}; /**< Paid, per million tokens within the targets. */
    int hand_overs{0};
    int moved{0}; /**< Hand-overs that moved the state. */
};

/** @brief Replays a workload against fake engines. Deterministic. */
[[nodiscard]] replay_result replay(const workload &load, const policy &rules, std::uint64_t seed);

} // namespace dotterelstack::bench
