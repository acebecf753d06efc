#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cli/command.hpp"
#include "cli/entry_status.hpp"

namespace dotterelstack::cli::internal {

/** @brief One entry and its status, or the error of reading it. */
struct entry_view {
    std::string name; /**< Host, or the address if the host is unknown. */
    std::string address;
    base::result<entry_status> status;
};

/** @brief All known entries. */
struct fleet_view {
    std::vector<entry_view> entries;
    std::optional<base::error>
        host_list_error; /**< Set if the host list could not be read; `entries` may then be incomplete. */

    /**
     * @brief Merges the snapshots of all entries that answered: use is summed per row, backend servers appear once.
     * @return Nothing if no entry answered.
     */
    [[nodiscard]] std::optional<config::fleet_snapshot> facts() const;
};

/**
 * @brief Reads the status of every entry: those in the platform's host list, those given with `--entries`, and, because
 * the host list lags behind, their peers. If `--entries` is given without a platform address, these entries and their
 * peers count as the complete fleet.
 */
[[nodiscard]] fleet_view read_fleet(const command_context &context);

} // namespace dotterelstack::cli::internal
