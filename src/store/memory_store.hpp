#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>

#include "store/object_store.hpp"

namespace dotterelstack::store {

/** @brief Faults that a `memory_store` shows from now on. */
struct store_faults {
    bool outage{false};        /**< Every call fails with `unavailable`. */
    bool lose_answers{false};  /**< Writes take effect and fail with `unknown_outcome`. */
    bool lose_requests{false}; /**< Writes fail with `unknown_outcome` without effect. */
    bool stale_reads{false};   /**< `get` returns the value before the last write. */
};

/** @brief Calls received so far. */
struct store_counters {
    std::uint64_t reads{0};
    std::uint64_t writes{0};
    std::uint64_t conflicts{0};
};

/** @brief `object_store` in memory with injectable faults, for tests, benches and stand-ins. Thread-safe. */
class memory_store final : public object_store {
public:
    /** @brief Called before each write is applied, without a lock held; may write itself. */
    using write_hook = std::function<void(std::string_view key)>;

    /** @param faults Replaces the faults in force. */
    void set_faults(store_faults faults);

    /** @brief Applies `faults` to the next `count` writes only. */
    void set_faults_once(store_faults faults, std::size_t count = 1);

    /** @brief Keeps the present state for `restore_copy`. */
    void take_copy();

    /**
     * @brief Returns to the state of the last copy, its revision included, and begins a new era. Waiting watches fail.
     * Revisions are given out again.
     */
    void restore_copy();

    /**
     * @brief Lets watches report each of the latest changes, not only the last one of each object. A watch from before
     * them fails with `history_lost`.
     * @param changes Greatest number of changes kept.
     */
    void keep_history(std::size_t changes);

    /** @brief Installs a hook that stands for a pause of the writer between its check and its write. */
    void set_write_hook(write_hook hook);

    [[nodiscard]] store_counters counters() const;
    [[nodiscard]] std::uint64_t revision() const;

    /** @return 1, and one more for each return from a copy. */
    [[nodiscard]] std::uint64_t era() const;

    [[nodiscard]] base::result<std::optional<object>> get(std::string_view key) override;
    [[nodiscard]] base::result<std::uint64_t> put(std::string_view key, std::string_view value,
                                                  std::uint64_t expected) override;
    [[nodiscard]] base::result<void> erase(std::string_view key, std::uint64_t expected) override;
    [[nodiscard]] base::result<std::vector<object>> list(std::string_view prefix) override;

    /** @brief Reports the last change of each object; intermediate versions are skipped unless a history is kept. */
    [[nodiscard]] base::result<watch_batch> watch(std::string_view prefix, std::uint64_t since,
                                                  const watch_limits &limits) override;

private:
    struct slot {
        object item;
        bool deleted{false};
        std::optional<object> previous;
    };

    [[nodiscard]] base::result<std::uint64_t> change(std::string_view key, std::optional<std::string_view> value,
                                                     std::uint64_t expected);
    [[nodiscard]] store_faults take_write_faults();
    [[nodiscard]] watch_batch changes(std::string_view prefix, std::uint64_t since) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, slot, std::less<>> slots_;
    std::uint64_t revision_{0};
    std::map<std::string, slot, std::less<>> copied_slots_;
    std::uint64_t copied_revision_{0};
    std::uint64_t era_{1};
    std::size_t most_changes_{0};
    std::deque<watch_event> history_; /**< The latest changes, where `most_changes_` is not 0. */
    std::uint64_t forgotten_{0};      /**< Revision of the newest change that the history no longer has. */
    store_faults faults_;
    store_faults once_;
    std::size_t once_count_{0};
    store_counters counters_;
    write_hook hook_;
};

} // namespace dotterelstack::store
