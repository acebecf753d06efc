#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"
#include "gateway/request_traits.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/** @brief Prefix of the store keys of crash reports; one object for each gateway incarnation. */
inline constexpr std::string_view crash_reports_prefix = "crash-reports/";

/** @brief What a gateway has observed of traits. */
enum class observation_kind : std::uint8_t {
    ended, /**< Attempts with the traits broke off at a server. */
    sound, /**< Answers to requests with the traits went on. */
    held   /**< Requests with the traits are held back. */
};

/** @brief One observation of a gateway about the requests that servers have worked on. */
struct crash_observation {
    std::uint64_t number{0}; /**< Grows with each observation of the gateway. */
    observation_kind kind{observation_kind::ended};
    std::string server; /**< Incarnation of the server that ended. */
    request_traits traits;
    std::string address{}; /**< Where that incarnation was; not stored. */
};

/** @brief The latest observations of a gateway, oldest first. */
using crash_report = std::vector<crash_observation>;

[[nodiscard]] nlohmann::json to_json(const crash_report &report);

/** @return The report, or an error that names the key. */
[[nodiscard]] base::result<crash_report> parse_crash_report(const store::object &item);

} // namespace dotterelstack::gateway
