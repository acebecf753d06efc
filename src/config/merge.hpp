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
 * @brief The configuration that a set of files started from: its version, and the digest of each item at that time.
 * An item without a digest was absent.
 */
struct merge_base {
    std::uint64_t version{0};
    std::map<std::string, std::string, std::less<>> digests;
};

/** @brief An item that the files and somebody else changed in different ways since the files' base. */
struct conflict {
    std::string item;
    nlohmann::json mine;
    nlohmann::json theirs;
    std::optional<item_origin> origin; /**< Who changed it, when, and in which version. */
};

/** @brief What applying the files to the present configuration means, item by item. */
struct merge_result {
    std::vector<item_change> changes;
    std::vector<conflict> conflicts;
    std::vector<std::string> kept; /**< Items changed by others only; the files are older and do not touch them. */
};

/**
 * @brief Compares files, their base and the present configuration item by item.
 * @param files Declarations of the files.
 * @param base What the files started from.
 * @param current Present configuration.
 * @param overwrite Names `ITEM@VERSION` of conflicts that the operator decides in favour of the files; they count only
 * while the item's last change is still of that version.
 */
[[nodiscard]] merge_result merge(const declarations &files, const merge_base &base, const config_state &current,
                                 const std::set<std::string> &overwrite = {});

/** @return `conflict` error that names for each item who, when, both values and what to do. */
[[nodiscard]] base::error describe(const std::vector<conflict> &conflicts);

/** @return Base of files that were written from a state. */
[[nodiscard]] merge_base make_base(const config_state &state);

/** @return Base of files after they were applied: items that equal the state get its digest, others keep theirs. */
[[nodiscard]] merge_base advance_base(const merge_base &old, const declarations &files, const config_state &state);

} // namespace dotterelstack::config
