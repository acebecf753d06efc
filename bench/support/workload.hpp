#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace dotterelstack::bench {

inline constexpr int organisation_count = 8;

/** @brief One request of a replayed workload. */
struct arrival {
    double at{0}; /**< Seconds from the start. */
    int organisation{0};
    int entry{0};
    std::uint32_t prompt{0};
    std::uint32_t output{0};
    std::vector<std::uint64_t> blocks{};
};

/** @brief A workload with its faults. Times in seconds from the start; negative means never. */
struct workload {
    std::string name;
    double seconds{300};
    std::vector<arrival> arrivals;
    double report_lag{0.3};
    double crash_at{-1}; /**< The engine with the most work crashes and is back after `crash_seconds`. */
    double crash_seconds{60};
    double withdraw_at{-1}; /**< The second failure domain is withdrawn. */
};

/** @brief The workloads of the table, the same for the same seed. */
[[nodiscard]] std::vector<workload> make_workloads(std::uint64_t seed, double seconds);

} // namespace dotterelstack::bench
