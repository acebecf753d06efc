#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"
#include "config/change.hpp"
#include "config/config_state.hpp"

namespace dotterelstack::config {

/** @brief Store key of the configuration head. */
inline constexpr std::string_view head_key = "config/head";

/** @brief Maximum size of a snapshot part in bytes (section 4 of the design). */
inline constexpr std::size_t part_limit = std::size_t{512} << 10U;

/** @brief Maximum size of the head in bytes; a larger head is compacted into a new snapshot. */
inline constexpr std::size_t head_limit = std::size_t{256} << 10U;

/**
 * @brief Size in bytes of the changes that stay in the head after compaction. With them processes catch up without
 * reading the snapshot, and writers find a change whose response was lost.
 */
inline constexpr std::size_t retained_limit = std::size_t{64} << 10U;

/** @brief Maximum size of a change in bytes; it keeps the head below the store's limit of one megabyte. */
inline constexpr std::size_t change_limit = std::size_t{384} << 10U;

/** @brief The object `config/head`. Its changes have contiguous versions that end at `version` and begin no later than
 * `snapshot_version` + 1. */
struct head {
    std::uint64_t version{0};
    std::uint64_t snapshot_version{0}; /**< 0 for the empty configuration, which has no parts. */
    std::uint64_t snapshot_parts{0};
    std::vector<change> changes;
};

void to_json(nlohmann::json &out, const change &value);

/** @return The change, or `invalid_argument`. */
[[nodiscard]] base::result<change> decode_change(const nlohmann::json &value);

[[nodiscard]] std::string encode_head(const head &value);

/** @return The head, or `invalid_argument` if it is malformed or its changes are not contiguous. */
[[nodiscard]] base::result<head> decode_head(std::string_view text);

/** @return Store key of one snapshot part. */
[[nodiscard]] std::string snapshot_key(std::uint64_t version, std::uint64_t part);

/** @return The parts of a snapshot, each at most `part_limit` bytes. Equal states give equal parts. */
[[nodiscard]] std::vector<std::string> encode_snapshot(const config_state &state);

/** @return The state, or `invalid_argument` if parts are missing, malformed or from different snapshots. */
[[nodiscard]] base::result<state_ptr> decode_snapshot(std::span<const std::string> parts);

/**
 * @brief Applies changes in order; changes that the state already contains are skipped.
 * @param state State to start from.
 * @param changes Contiguous changes.
 * @return The new state; `not_found` if changes between the state and the first change are missing; `internal` with
 * code `config_diverged` if the old value in a change differs from the state, or if a change has the version of the
 * state but another id.
 */
[[nodiscard]] base::result<state_ptr> apply_changes(const state_ptr &state, std::span<const change> changes);

/** @brief Like `apply_changes`, for a single change. */
[[nodiscard]] base::result<state_ptr> apply_change(const state_ptr &state, const change &value);

} // namespace dotterelstack::config
