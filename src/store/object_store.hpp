#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace dotterelstack::store {

/** @brief Version that a conditional write names to create an object that must not exist. */
inline constexpr std::uint64_t absent = 0;

/** @brief One stored object. */
struct object {
    std::string key;
    std::uint64_t version{absent}; /**< Store-wide revision of the last write to this object. */
    std::string value;             /**< At most one megabyte. */
};

/** @brief A change seen by a watch. */
struct watch_event {
    object item;
    bool deleted{false};
};

/** @brief Answer of a watch: the changes since the revision asked for. */
struct watch_batch {
    std::vector<watch_event> events;
    std::uint64_t revision{0}; /**< Pass as `since` of the next call. */
    std::size_t bytes{0};      /**< Size of what the store has sent; 0 if unknown. */
};

/** @brief Limits of a watch. */
struct watch_limits {
    base::duration wait{0};                    /**< Longest wait for a change; an empty batch is a normal answer. */
    std::size_t bytes{std::size_t{16} << 20U}; /**< Longest answer; a longer one fails with `answer_too_long`. */
};

/**
 * @brief The platform's versioned object store. All calls block.
 *
 * Errors: `unavailable` when the store was not reached, `timeout` for reads without answer,
 * `unknown_outcome` for writes without answer, `conflict` when the version did not match.
 */
class object_store {
public:
    object_store() = default;
    object_store(const object_store &) = delete;
    object_store &operator=(const object_store &) = delete;
    virtual ~object_store() = default;

    /** @return The object, or nothing if the key is absent. */
    [[nodiscard]] virtual base::result<std::optional<object>> get(std::string_view key) = 0;

    /**
     * @brief Writes if the object still has the expected version.
     * @param expected Version to replace, or `absent` to create.
     * @return The new version.
     */
    [[nodiscard]] virtual base::result<std::uint64_t> put(std::string_view key, std::string_view value,
                                                          std::uint64_t expected) = 0;

    /** @brief Deletes if the object still has the expected version. */
    [[nodiscard]] virtual base::result<void> erase(std::string_view key, std::uint64_t expected) = 0;

    /** @return All objects whose key starts with `prefix`, in key order. */
    [[nodiscard]] virtual base::result<std::vector<object>> list(std::string_view prefix) = 0;

    /**
     * @brief Waits for changes under a prefix.
     * @param since Revision already seen; 0 reports every present object.
     * @param limits The limit on bytes holds for changes only, not for the objects that 0 reports.
     */
    [[nodiscard]] virtual base::result<watch_batch> watch(std::string_view prefix, std::uint64_t since,
                                                          const watch_limits &limits) = 0;

    /**
     * @return Number of the store's history, as of the newest answer. It rises when the store has returned from a copy
     * and lost acknowledged writes; 0 if that has not been seen to be possible. Callable from any thread.
     */
    [[nodiscard]] virtual std::uint64_t history() const noexcept { return 0; }
};

} // namespace dotterelstack::store
