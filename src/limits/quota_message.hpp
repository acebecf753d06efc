#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace dotterelstack::limits {

/** @brief Interval in which a gateway sends its bank a message. */
inline constexpr base::duration quota_interval = std::chrono::milliseconds{400};

/**
 * @brief Time from a message for which its gateway counts as a member of its bank, so that the bank lends its part.
 * One message may be lost.
 */
inline constexpr base::duration quota_member_lifetime = std::chrono::milliseconds{1100};

/** @brief Time from a message for which amounts that its answer grants may be used. */
inline constexpr base::duration quota_grant_lifetime = std::chrono::seconds{2};

/** @brief Number of gateways that is assumed until it is known; as many share one bank. */
inline constexpr std::size_t assumed_gateways = 64;

/**
 * @brief A gateway's use of one quota.
 *
 * Both amounts count up over the life of the gateway's process, so that a lost or repeated message changes nothing.
 */
struct quota_use {
    std::string organisation;
    std::int64_t spent{0};   /**< Units of all requests that were admitted on the bank's account. */
    std::int64_t ceiling{0}; /**< Up to here the units are paid for. What the gateway gives back lowers it. */
    std::int64_t wanted{0};  /**< Units that the gateway expects to need until the next answer. */
};

/** @brief What a gateway tells its bank. Without rows, it only states that the gateway is there. */
struct quota_report {
    std::string gateway;     /**< Host name, which a restarted gateway keeps. If empty, only an answer is wanted. */
    std::string incarnation; /**< Of the gateway's process. */
    std::uint64_t sequence{0};
    std::vector<quota_use> rows;
};

/** @brief What a gateway may spend of one quota. */
struct quota_grant {
    std::string organisation;
    std::int64_t ceiling{0}; /**< Replaces the gateway's. */
    std::int64_t level{0};   /**< Units that the bank has left to lend; negative while it has lent too much. */
};

/** @brief A bank's answer to a report. */
struct quota_answer {
    std::uint64_t sequence{0};
    std::vector<quota_grant> rows;
    std::vector<std::string> dry; /**< Organisations of which the bank has nothing left. */
};

} // namespace dotterelstack::limits
