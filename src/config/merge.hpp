#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/error.hpp"
#include "config/change.hpp"
#include "config/config_state.hpp"

namespace dotterelstack::config {

/**
 * @brief Base of the three-way merge: version of the configuration from which a set of files was exported, and the
 * digest of each item in it. An item without a digest was absent.
 */
struct merge_base {
    std::uint64_t version{0};
    std::map<std::string, std::string, std::less<>> digests;
};

/** @brief An item that was changed differently in the files and by another author since the merge base. */
struct conflict {
    std::string item;
    nlohmann::json mine;
    nlohmann::json theirs;
    std::optional<item_origin> origin; /**< The other change; nothing if it is unknown. */
};

/** @brief Result of merging files into the current configuration, item by item. */
struct merge_result {
    std::vector<item_change> changes;
    std::vector<conflict> conflicts;
    std::vector<std::string> kept; /**< Items changed only by others; older values in the files are not applied. */
};

/**
 * @brief Three-way merge of files, their base and the current configuration, item by item.
 * @param files Declarations of the files.
 * @param base Configuration from which the files were exported.
 * @param current Current configuration.
 * @param overwrite Conflicts, as `ITEM@VERSION`, that the operator has resolved in favour of the files; ignored if the
 * last change of the item has another version.
 */
[[nodiscard]] merge_result merge(const declarations &files, const merge_base &base, const config_state &current,
                                 const std::set<std::string> &overwrite = {});

/** @return `conflict` error that lists for each item the author, the time, both values and the remedy. */
[[nodiscard]] base::error describe(const std::vector<conflict> &conflicts);

/** @return Merge base of files that were exported from a state. */
[[nodiscard]] merge_base make_base(const config_state &state);

/** @return Merge base after the files were applied: items equal to the state get its digest, others keep theirs. */
[[nodiscard]] merge_base advance_base(const merge_base &old, const declarations &files, const config_state &state);

} // namespace dotterelstack::config
