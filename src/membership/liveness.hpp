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
    /** Silence after which a peer is suspected: three ping intervals of 0.5 s (section 5 of the design). */
    base::duration suspicion{std::chrono::milliseconds{1500}};
    /** Interval at which the owner calls `on_time`. */
    base::duration tick{std::chrono::milliseconds{250}};
    /** Delay of this process's own timer that is normal on a busy host. */
    base::duration tolerance{std::chrono::milliseconds{100}};
};

/**
 * @brief Failure detector that suspects peers after a period of silence. Time in which this process did not run does
 * not count: when its own timer is late, the silence of every peer is reduced by the delay, since heartbeats may be
 * waiting unread. Not thread-safe.
 */
class liveness {
public:
    explicit liveness(const base::clock &time, liveness_options options = {});

    /** @brief Starts to observe a peer, as if it had just sent a heartbeat; no effect on a known one. */
    void add(std::string_view peer);

    void remove(std::string_view peer);

    /** @brief A heartbeat or any other message from a peer has arrived. @return True if the peer was suspected. */
    bool on_heartbeat(std::string_view peer);

    /** @brief Call every `liveness_options::tick`. @return Peers that are newly suspected. */
    [[nodiscard]] std::vector<std::string> on_time();

    [[nodiscard]] bool suspected(std::string_view peer) const;

private:
    struct peer_state {
        base::instant last_heard{}; /**< Time of the last message, in `running_time`. */
        bool suspected{false};
    };

    /** @return Current time less all pauses of this process. */
    [[nodiscard]] base::instant running_time();

    const base::clock &clock_;
    liveness_options options_;
    base::instant last_run_;
    base::duration paused_{0};
    std::map<std::string, peer_state, std::less<>> peers_;
};

} // namespace dotterelstack::membership
