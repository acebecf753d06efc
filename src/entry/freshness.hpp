#pragma once

#include "base/clock.hpp"

namespace dotterelstack::entry {

/** @brief Whether the configuration, and with it the key table, may still be relied on. */
enum class freshness {
    current,  /**< Confirmed within the limit. */
    outage,   /**< Not confirmed, but peers see the store down, too: nothing can be withdrawn there. */
    isolated, /**< Not confirmed and no peer attests an outage: keys may have been withdrawn unseen. */
    unknown   /**< Nothing was ever confirmed. */
};

/** @brief Decides whether requests are served, from reads of the store and answers of peers. */
class freshness_guard {
public:
    /** @param limit Longest time without confirmation before requests are refused. */
    freshness_guard(const base::clock &time, base::duration limit) noexcept : clock_{time}, limit_{limit} {}

    /** @param when Start of a store read that succeeded. */
    void confirmed(base::instant when) noexcept {
        ever_ = true;
        confirmed_ = when > confirmed_ ? when : confirmed_;
    }

    /** @brief A peer answered that it cannot reach the store either. @param when Start of the call. */
    void outage_attested(base::instant when) noexcept { attested_ = when > attested_ ? when : attested_; }

    [[nodiscard]] freshness state() const noexcept {
        if (!ever_) {
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
    bool ever_{false};
    base::instant confirmed_{};
    base::instant attested_{};
};

} // namespace dotterelstack::entry
