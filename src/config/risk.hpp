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

/** @brief Present use of one row, summed over the entries. */
struct row_use {
    std::string organisation;
    std::string service;
    std::uint64_t running{0};
    double requests_per_second{0};
    double prompt_tokens_per_second{0};
    double generated_tokens_per_second{0};
};

/** @brief What is running now. */
struct fleet_snapshot {
    std::vector<backend_snapshot> backends;
    std::vector<row_use> rows;
};

/** @brief A consequence of a change that the operator has to accept by name. */
struct risk {
    std::string name;    /**< Kind, snake_case; accepted with `--accept-risk NAME` or `NAME:SUBJECT`. */
    std::string subject; /**< Item or thing concerned. */
    std::string detail;  /**< What will happen. */
    std::string remedy;
};

/**
 * @brief Finds what a change would break for organisations and callers.
 *
 * Names: `organisation_without_row`, `service_lost`, `key_stops_working`, `service_made_public`,
 * `route_made_repeatable`, `model_without_engine`, `capacity_below_demand`, `limit_below_use`, `present_use_unknown`.
 * @param before Present declarations.
 * @param after Declarations after the change.
 * @param facts What is running now; null if unknown, which is a risk itself for changes that depend on it.
 */
[[nodiscard]] std::vector<risk> find_risks(const declarations &before, const declarations &after,
                                           const fleet_snapshot *facts);

/** @return The risks that are not in `accepted`. */
[[nodiscard]] std::vector<risk> not_accepted(const std::vector<risk> &risks, const std::set<std::string> &accepted);

/** @return `refused` error that lists the risks and how to accept them. */
[[nodiscard]] base::error describe(const std::vector<risk> &risks);

} // namespace dotterelstack::config
