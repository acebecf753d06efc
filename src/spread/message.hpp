#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace dotterelstack::spread {

/** @brief Position in the withdrawal log of one start of one process. */
struct cursor {
    std::uint64_t incarnation{0};
    std::uint64_t position{0};

    bool operator==(const cursor &) const = default;
};

/** @brief `GET /config?since=N&wait_ms=M`, held by the receiver until it has something newer or the wait has passed. */
struct poll {
    std::uint64_t since{0}; /**< Version that the sender has. */
    cursor withdrawals;     /**< Of the receiver's log, as of its last reply. */
    /** False: send the version only, and at the end of the wait. A process gets each change from one source; the other
     * shows that the first is silent or behind. */
    bool full{true};
    base::duration wait{0};
};

/** @brief Reply to a poll. The changes themselves are added by `config_tracker::answer_peer`. */
struct reply {
    std::uint64_t version{0};
    base::duration age{0}; /**< How old this knowledge may be, from the store to the sender, when the reply is sent. */
    base::duration held{
        0};           /**< How long the poll was held. The receiver counts the age from so long after its start. */
    bool busy{false}; /**< The sender waits for too many already; ask another source. */
    cursor withdrawals;
    std::vector<std::string> withdrawn; /**< SHA-256 hashes of keys. */
};

} // namespace dotterelstack::spread
