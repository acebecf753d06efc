#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cli/command.hpp"
#include "cli/entry_status.hpp"

namespace dotterelstack::cli::internal {

/** @brief One entry and what it answered. */
struct entry_view {
    std::string name; /**< Host, or the address if the host is unknown. */
    std::string address;
    base::result<entry_status> status;
};

/** @brief All entries that are known to exist. */
struct fleet_view {
    std::vector<entry_view> entries;
    std::optional<base::error>
        host_list_error; /**< Set if the host list was not read; the entries may be incomplete. */

    /** @return Facts of all answers: use is summed, backend servers appear once; nothing if no entry answered. */
    [[nodiscard]] std::optional<config::fleet_snapshot> facts() const;
};

/**
 * @brief Asks every entry: those of the platform's host list, those named with `--entries`, and their peers, since the
 * host list lags. Without a platform address the named entries and their peers count as complete.
 */
[[nodiscard]] fleet_view read_fleet(const call &with);

} // namespace dotterelstack::cli::internal
