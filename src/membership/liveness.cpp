#include "membership/liveness.hpp"

#include <utility>

namespace dotterelstack::membership {

liveness::liveness(const base::clock &time, liveness_options options)
    : clock_{time}, options_{options}, last_run_{time.now()} {}

base::instant liveness::running_time() {
    const auto now = clock_.now();
    const auto late = now - last_run_ - options_.tick;
    if (late > options_.tolerance) {
        paused_ += late;
    }
    last_run_ = now;
    return now - paused_;
}

void liveness::add(std::string_view peer) {
    if (!peers_.contains(peer)) {
        peers_.emplace(peer, peer_state{running_time(), false});
    }
}

void liveness::remove(std::string_view peer) {
    if (const auto it = peers_.find(peer); it != peers_.end()) {
        peers_.erase(it);
    }
}

bool liveness::on_heartbeat(std::string_view peer) {
    const auto now = running_time();
    const auto it = peers_.find(peer);
    if (it == peers_.end()) {
        return false;
    }
    it->second.last_heard = now;
    return std::exchange(it->second.suspected, false);
}

std::vector<std::string> liveness::on_time() {
    std::vector<std::string> out;
    const auto now = running_time();
    for (auto &[peer, it] : peers_) {
        if (!it.suspected && now - it.last_heard > options_.suspicion) {
            it.suspected = true;
            out.push_back(peer);
        }
    }
    return out;
}

bool liveness::suspected(std::string_view peer) const {
    const auto it = peers_.find(peer);
    return it != peers_.end() && it->second.suspected;
}

} // namespace dotterelstack::membership
