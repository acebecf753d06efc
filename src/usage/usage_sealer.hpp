#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "lease/authority_check.hpp"
#include "usage/sealed_window.hpp"

namespace dotterelstack::usage {

/** @brief Settings of a `usage_sealer`. */
struct sealer_settings {
    base::duration window_length{std::chrono::seconds{60}};
    base::duration grace{
        std::chrono::seconds{75}}; /**< Entries take up to 30 s to read the open window and up to 30 s to flush. */
    base::duration read_every{std::chrono::seconds{5}};
    base::duration retry_after{std::chrono::seconds{1}};
    std::uint64_t keep_windows{10080}; /**< Seven days of one-minute windows. */
};

/** @brief Operation that the driver performs next. */
enum class sealer_step {
    wait,
    read_open,
    read_sealed,
    list_batches,
    write_open,
    write_sealed,
    erase_batch
};

/** @brief Action of a `usage_sealer`. */
struct sealer_action {
    sealer_step step{sealer_step::wait};
    std::string key{};
    nlohmann::json value{};   /**< For writes. */
    std::uint64_t version{0}; /**< Expected object version, for writes and erasures. */
    base::instant until{};    /**< For `wait`. */
};

/**
 * @brief Opens and seals usage windows; runs under the billing lease.
 *
 * A window is closed by opening the next one and sealed a grace period later. Both times are measured on the lease
 * holder's own clock, from when the holder first read the change. Sealing creates an object that must not exist yet, so
 * that a holder which was paused cannot change a sealed window. Not thread-safe.
 */
class usage_sealer {
public:
    usage_sealer(const base::clock &clock, sealer_settings settings);

    /** @return The next action; its outcome must be reported before the next call. */
    [[nodiscard]] sealer_action next();

    void on_open(const base::result<std::optional<store::object>> &found);
    void on_sealed(const base::result<std::optional<store::object>> &found);
    void on_batches(const base::result<std::vector<store::object>> &found);
    void on_written(const base::result<std::uint64_t> &written);
    void on_erased(const base::result<void> &erased);

    /** @param window Last reported window, stored as a hint for the next lease holder. */
    void on_reported(std::uint64_t window) noexcept;

    /** @return The open window as last read from the store. */
    [[nodiscard]] const open_window &open() const noexcept { return open_; }

    /** @return Last window known to be sealed. */
    [[nodiscard]] std::uint64_t sealed() const noexcept { return last_.window; }

private:
    enum class writing {
        none,
        open,
        sealed
    };

    [[nodiscard]] base::instant seal_time() const;
    [[nodiscard]] bool seal_due(base::instant now) const;
    [[nodiscard]] sealer_action write_open();
    void retry() noexcept;
    void adopt(sealed_window sealed);

    const base::clock &clock_;
    sealer_settings settings_;
    open_window open_;
    std::uint64_t open_version_{store::absent};
    base::instant open_since_{};
    std::map<std::uint64_t, base::instant>
        closed_since_; /**< Time at which all windows up to the key were first seen closed. */
    base::instant read_due_{};
    base::instant retry_due_{};
    bool searching_{true};   /**< True while later sealed windows than `last_` are searched for. */
    bool last_known_{false}; /**< True once `last_` has been read, or no window is sealed yet. */
    sealed_window last_;
    std::optional<sealed_window> draft_;
    std::vector<std::pair<store::object, usage_batch>> batches_;
    std::vector<store::object> garbage_;
    writing writing_{writing::none};
    std::uint64_t reported_{0};
};

/**
 * @brief Performs one action against the store. Blocks.
 * @param authority Check of the billing lease; if it is absent or fails, no action is performed.
 */
sealer_action drive_sealer(usage_sealer &sealer, store::object_store &store, base::id_source &ids,
                           const std::optional<lease::authority_check> &authority);

} // namespace dotterelstack::usage
