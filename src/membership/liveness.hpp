#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace dotterelstack::membership {

struct liveness_options {
    /** Silence after which a peer is suspected; three pings of 0.5 s (section 5 of the design). */
    base::duration suspicion{std::chrono::milliseconds{1500}};
    /** Interval at which the owner calls `on_time`. */
    base::duration tick{std::chrono::milliseconds{250}};
    /** Lateness of the own timer that is normal on a busy host. */
    base::duration tolerance{std::chrono::milliseconds{100}};
};

/**
 * @brief Which peers have been silent for too long. Time in which this process did not run does not count: when its own
 * timer is late, every peer is granted the delay, since their heartbeats may wait unread. Not thread-safe.
 */
class liveness {
public:
    explicit liveness(const base::clock &time, liveness_options options = {});

    /** @brief Starts to observe a peer, as if it had just been heard; no effect on a known one. */
    void add(std::string_view peer);

    void remove(std::string_view peer);

    /** @brief A heartbeat or any other message of a peer has arrived. @return True if it was suspected. */
    bool on_heartbeat(std::string_view peer);

    /** @return Peers that are suspected from now on. */
    [[nodiscard]] std::vector<std::string> on_time();

    [[nodiscard]] bool suspected(std::string_view peer) const;

private:
    struct peer_state {
        base::instant heard{}; /**< On the time line without the own pauses. */
        bool suspected{false};
    };

    [[nodiscard]] base::instant running_time();

    const base::clock &clock_;
    liveness_options options_;
    base::instant last_run_;
    base::duration paused_{0};
    std::map<std::string, peer_state, std::less<>> peers_;
};

} // namespace dotterelstack::membership
