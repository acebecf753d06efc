#pragma once

#include "base/clock.hpp"

namespace dotterelstack::entry {

/** @brief Whether the configuration, and with it the key table, is recent enough to serve requests. */
enum class freshness {
    current,  /**< Confirmed within the limit. */
    outage,   /**< Not confirmed, but peers cannot reach the store either: no key can be withdrawn there. */
    isolated, /**< Not confirmed, and no outage attested by peers: keys may have been withdrawn unnoticed. */
    unknown   /**< No configuration was confirmed yet. */
};

/** @brief Decides from reads of the store and responses of peers whether requests are served. */
class freshness_guard {
public:
    /** @param limit Longest time without confirmation before requests are refused. */
    freshness_guard(const base::clock &time, base::duration limit) noexcept : clock_{time}, limit_{limit} {}

    /** @param when Start of a store read that succeeded. */
    void confirmed(base::instant when) noexcept {
        ever_confirmed_ = true;
        confirmed_ = when > confirmed_ ? when : confirmed_;
    }

    /** @brief Peers have reported that they cannot reach the store either. @param when Start of the calls. */
    void outage_attested(base::instant when) noexcept { attested_ = when > attested_ ? when : attested_; }

    [[nodiscard]] freshness state() const noexcept {
        if (!ever_confirmed_) {
            return freshness::unknown;
        }
        const auto now = clock_.now();
        if (now - confirmed_ <= limit_) {
            return freshness::current;
        }
        return attested_ > base::instant{} && now - attested_ <= limit_ ? freshness::outage : freshness::isolated;
    }

    /** @return True while requests are served. */
    [[nodiscard]] bool serves() const noexcept {
        const auto it = state();
        return it == freshness::current || it == freshness::outage;
    }

private:
    const base::clock &clock_;
    const base::duration limit_;
    bool ever_confirmed_{false};
    base::instant confirmed_{};
    base::instant attested_{};
};

} // namespace dotterelstack::entry
