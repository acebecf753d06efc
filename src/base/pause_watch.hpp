#pragma once

#include <optional>
#include <utility>

#include "base/clock.hpp"

namespace dotterelstack::base {

/**
 * @brief Notices that a thread which works in steps was stopped, throttled or late. Not thread-safe.
 *
 * Times measured across such a pause contain it, and say little about what was measured.
 */
class pause_watch {
public:
    /** @param tolerance A step that begins later than meant by more than this comes after a pause. */
    explicit pause_watch(duration tolerance) noexcept : tolerance_{tolerance} {}

    /**
     * @brief A step begins.
     * @param wait How long the thread meant to wait for it at most.
     * @return Time by which it is late, if that is a pause.
     */
    std::optional<duration> begin_step(instant now, duration wait) noexcept {
        const auto before = std::exchange(step_at_, now);
        if (!before || now - *before <= wait + tolerance_) {
            return std::nullopt;
        }
        ended_at_ = now;
        return now - *before - wait;
    }

    /** @return True if a pause has ended after `from`. */
    [[nodiscard]] bool paused_since(instant from) const noexcept { return ended_at_ && from < *ended_at_; }

private:
    const duration tolerance_;
    std::optional<instant> step_at_;
    std::optional<instant> ended_at_;
};

} // namespace dotterelstack::base
