#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/error.hpp"
#include "config/declarations.hpp"

namespace dotterelstack::config {

/** @brief A backend server as the entries see it. */
struct backend_snapshot {
    std::string name;
    std::string host;
    std::string service;
    std::vector<std::string> models;
    std::string failure_domain;
    bool draining{false};
    std::uint64_t used_blocks{0}; /**< Blocks of engine memory; 0 of 0 for plain services. */
    std::uint64_t total_blocks{0};
};

/** @brief Current use of the limits of one row, summed over the entries. */
struct row_use {
    std::string organisation;
    std::string service;
    std::uint64_t running{0};
    double requests_per_second{0};
    double prompt_tokens_per_second{0};
    double generated_tokens_per_second{0};
};

/** @brief Backend servers and use of limits at present, as reported by the entries. */
struct fleet_snapshot {
    std::vector<backend_snapshot> backends;
    std::vector<row_use> rows;
};

/** @brief A harmful consequence of a change, which the operator must accept explicitly by name. */
struct risk {
    std::string name;    /**< Kind, snake_case; accepted with `--accept-risk NAME` or `NAME:SUBJECT`. */
    std::string subject; /**< Affected item, model or fleet. */
    std::string detail;  /**< Description of the consequence. */
    std::string remedy;  /**< How to avoid it. */
};

/**
 * @brief Finds the risks of a change for organisations and callers.
 *
 * Names: `organisation_without_row`, `service_lost`, `key_stops_working`, `service_made_public`,
 * `route_made_repeatable`, `model_without_engine`, `capacity_below_demand`, `limit_below_use`, `present_use_unknown`.
 * @param before Current declarations.
 * @param after Declarations after the change.
 * @param fleet Current state of the fleet; null if unknown, which is itself a risk for changes that depend on it.
 */
[[nodiscard]] std::vector<risk> find_risks(const declarations &before, const declarations &after,
                                           const fleet_snapshot *fleet);

/** @return The risks whose `NAME` or `NAME:SUBJECT` is not in `accepted`. */
[[nodiscard]] std::vector<risk> not_accepted(const std::vector<risk> &risks, const std::set<std::string> &accepted);

/** @return `refused` error that lists the risks and how to accept them. */
[[nodiscard]] base::error describe(const std::vector<risk> &risks);

} // namespace dotterelstack::config
