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

/** @brief Makes the changes of a commit from the present configuration. Called again after a concurrent commit. */
using change_builder = std::function<base::result<std::vector<item_change>>(const config_state &current)>;

/** @brief A finished commit. */
struct commit_result {
    state_ptr state;       /**< Configuration that contains the change. */
    std::string change_id; /**< Empty if there was nothing to change. */
    bool complete{true};   /**< False if the changes did not fit one commit; commit again for the rest. */
};

/** @brief What a repository needs besides the store. */
struct repository_options {
    std::function<void(base::duration)> sleep; /**< Waits between attempts. */
    std::function<std::string()> time;         /**< Wall clock as text, for people. */
    int attempts{20};                          /**< Reads and writes of one call before it gives up. */
    base::duration initial_delay{std::chrono::milliseconds{20}};
    base::duration max_delay{std::chrono::seconds{1}};
};

/** @return Options that sleep on this thread and give the time in UTC. */
[[nodiscard]] repository_options default_repository_options();

/**
 * @brief Reads and commits configurations in the store. Never works on a version older than one it has seen, and
 * resolves writes whose response was lost by the random id of the change. Not thread-safe.
 */
class repository {
public:
    repository(store::object_store &objects, base::id_source &ids, repository_options options);

    /** @return The present configuration; `unavailable` or `timeout` if the store does not answer. */
    [[nodiscard]] base::result<state_ptr> read();

    /** @return The changes that the head still lists, oldest first. */
    [[nodiscard]] base::result<std::vector<change>> history();

    /**
     * @brief Commits a change: builds it, checks the result, and writes the head if it is still the one that was read.
     * @param author Who asked for the change.
     * @param build Makes the changes; its errors end the commit.
     * @return `invalid_argument` if the result is not valid; `unknown_outcome`, with the change's id in the message, if
     * it could not be found out whether the change was committed; otherwise errors mean that nothing was changed.
     */
    [[nodiscard]] base::result<commit_result> commit(const std::string &author, const change_builder &build);

private:
    struct read_head {
        std::uint64_t object_version{store::absent};
        head value;
        state_ptr state;
    };
    struct attempt;
    enum class verdict {
        committed,
        open,
        unknown
    };

    base::result<read_head> read_once();
    base::result<state_ptr> load(const head &value);
    base::result<change> prepare(attempt &it, const read_head &from, const change_builder &build) const;
    base::result<std::string> next_head(const read_head &from, const change &next);
    base::result<std::string> with_snapshot(const read_head &from, const change &next);
    void remove_old_snapshots(std::uint64_t oldest_kept);
    static verdict resolve(attempt &it, const read_head &from);
    void wait(int n) const;

    store::object_store &objects_;
    base::id_source &ids_;
    repository_options options_;
    std::uint64_t seen_{store::absent}; /**< Highest version of the head object known to exist. */
    state_ptr state_;                   /**< Latest state that was read. */
};

} // namespace dotterelstack::config
