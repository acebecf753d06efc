#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "base/id.hpp"
#include "http/client.hpp"
#include "lease/authority_check.hpp"
#include "usage/sealed_window.hpp"

namespace dotterelstack::usage {

/** @brief Settings of a `usage_reporter`. */
struct reporter_settings {
    std::string reporter; /**< Incarnation of this process. */
    base::duration send_timeout{
        std::chrono::seconds{1}}; /**< Deadline of a report; at most the lease's setting of that name. */
    base::duration read_every{std::chrono::seconds{5}};
    base::duration retry_after{std::chrono::seconds{2}};
};

/** @brief Operation that the driver performs next. */
enum class reporter_step {
    wait,
    read_mark,
    read_sealed,
    send,
    write_mark
};

/** @brief Action of a `usage_reporter`. */
struct reporter_action {
    reporter_step step{reporter_step::wait};
    std::string key{};
    nlohmann::json value{}; /**< Body of the report, or the value of the mark object. */
    base::instant until{};  /**< For `wait`. */
};

/**
 * @brief Reports sealed windows to the platform in order and repeats each report until it is accepted; runs under the
 * billing lease. Figures are taken only from the sealed object, so that every repetition carries the same figures, also
 * by another lease holder. A window is marked as reported by an object in the store. Not thread-safe.
 */
class usage_reporter {
public:
    /** @param reported A window known to be reported (`open_window::reported`). */
    usage_reporter(const base::clock &clock, reporter_settings settings, std::uint64_t reported);

    /** @param fence Fence of the billing lease. @return The next action. */
    [[nodiscard]] reporter_action next(std::uint64_t fence);

    void on_mark(const base::result<std::optional<store::object>> &found);
    void on_sealed(const base::result<std::optional<store::object>> &found);
    void on_sent(const base::result<http::response> &answer);
    void on_mark_written(const base::result<std::uint64_t> &written);

    /** @return Last window known to be reported. */
    [[nodiscard]] std::uint64_t reported() const noexcept { return reported_; }

    /** @return Number of reports that the platform rejected with an error response. */
    [[nodiscard]] std::uint64_t rejections() const noexcept { return rejections_; }

    [[nodiscard]] const reporter_settings &settings() const noexcept { return settings_; }

private:
    enum class phase {
        mark,
        sealed,
        send,
        write
    };

    void wait(base::duration time) noexcept;
    void advance() noexcept;

    const base::clock &clock_;
    reporter_settings settings_;
    std::uint64_t reported_;
    phase phase_{phase::mark};
    std::optional<sealed_window> sealed_;
    base::instant due_{};
    std::uint64_t rejections_{0};
};

/**
 * @brief Performs one action. Blocks.
 * @param platform Address of the platform.
 * @param authority Check of the billing lease; it is repeated before the last byte of a report is sent.
 */
reporter_action drive_reporter(usage_reporter &reporter, store::object_store &store, base::id_source &ids,
                               http::client &client, std::string_view platform,
                               const std::optional<lease::authority_check> &authority);

} // namespace dotterelstack::usage
