#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace dotterelstack::spread {

/** @brief Position in the withdrawal log of a process; valid for one incarnation (start) of that process. */
struct cursor {
    std::uint64_t incarnation{0};
    std::uint64_t position{0};

    bool operator==(const cursor &) const = default;
};

/** @brief Long poll `GET /config?since=N&wait_ms=M`: held until the receiver has an update or the wait has passed. */
struct poll {
    std::uint64_t since{0}; /**< Version held by the sender. */
    cursor withdrawals;     /**< Position in the receiver's log, from its last reply. */
    /** If false, a newer version does not end the wait, and the reply carries its number without the changes. A
     * process receives changes from one source; its other source reveals that the first one is silent or behind. */
    bool full{true};
    base::duration wait{0};
};

/** @brief Reply to a poll. The changes themselves are added by `config_tracker::answer_peer`. */
struct reply {
    std::uint64_t version{0};
    base::duration age{0}; /**< Maximum time since the store confirmed the version, as of sending the reply. */
    base::duration held{
        0};           /**< How long the poll was held; the receiver counts the age from the poll's start plus this. */
    bool busy{false}; /**< The sender holds too many polls; the receiver should use another source. */
    cursor withdrawals;
    std::vector<std::string> withdrawn; /**< SHA-256 hashes of the withdrawn keys. */
};

} // namespace dotterelstack::spread
