#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/id.hpp"
#include "config/config_log.hpp"
#include "config/config_state.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::config {

/** @brief Builds the changes of a commit from the current configuration. Called again after a concurrent commit. */
using change_builder = std::function<base::result<std::vector<item_change>>(const config_state &current)>;

/** @brief Result of a successful commit. */
struct commit_result {
    state_ptr state;       /**< Configuration that includes the change. */
    std::string change_id; /**< Empty if there was nothing to change. */
    bool complete{true};   /**< False if the changes exceeded the size of one commit; commit again for the rest. */
};

/** @brief Options of a `repository`. */
struct repository_options {
    std::function<void(base::duration)> sleep; /**< Waits between attempts. */
    std::function<std::string()> time;         /**< Wall clock as text; for display only. */
    int attempts{20};                          /**< Maximum number of attempts of one call. */
    base::duration initial_delay{std::chrono::milliseconds{20}};
    base::duration max_delay{std::chrono::seconds{1}};
};

/** @return Options that sleep on this thread and give the time in UTC. */
[[nodiscard]] repository_options default_repository_options();

/**
 * @brief Reads and commits configurations in the store. Rejects reads that are older than a version seen before, and
 * finds out by the random id of a change whether a write without response took effect. Not thread-safe.
 */
class repository {
public:
    repository(store::object_store &objects, base::id_source &ids, repository_options options);

    /** @return The current configuration; `unavailable` or `timeout` if the store does not answer. */
    [[nodiscard]] base::result<state_ptr> read();

    /** @return The changes that the head still contains, oldest first. */
    [[nodiscard]] base::result<std::vector<change>> history();

    /**
     * @brief Commits a change: builds it, validates the result, and writes the head if it has not changed since the
     * read.
     * @param author Name of the author, stored with the change.
     * @param build Builds the changes; the commit fails with its errors.
     * @return `invalid_argument` if the result is not valid; `unknown_outcome`, with the change's id in the message, if
     * it is unknown whether the change was committed; any other error means that nothing was changed.
     */
    [[nodiscard]] base::result<commit_result> commit(const std::string &author, const change_builder &build);

private:
    struct read_head {
        std::uint64_t object_version{store::absent};
        head value;
        state_ptr state;
    };
    struct attempt;
    enum class commit_status {
        committed,
        not_found_yet,
        unknown
    };

    base::result<read_head> read_once();
    base::result<state_ptr> load(const head &value);
    base::result<change> prepare(attempt &it, const read_head &from, const change_builder &build) const;
    base::result<std::string> next_head(const read_head &from, const change &next);
    base::result<std::string> with_snapshot(const read_head &from, const change &next);
    void remove_old_snapshots(std::uint64_t oldest_kept);
    static commit_status resolve(attempt &it, const read_head &from);
    void wait(int n) const;

    store::object_store &objects_;
    base::id_source &ids_;
    repository_options options_;
    std::uint64_t min_version_{store::absent}; /**< Head object versions below it are stale reads. */
    state_ptr state_;                          /**< State of the last successful read or commit. */
};

} // namespace dotterelstack::config
