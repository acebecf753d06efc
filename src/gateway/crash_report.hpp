#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/** @brief Prefix of the store keys of crash reports; one object for each gateway incarnation. */
inline constexpr std::string_view crash_reports_prefix = "crash-reports/";

/** @brief What a gateway has observed of parts of prompts. */
enum class observation_kind : std::uint8_t {
    ended, /**< Attempts with the parts broke off at an engine. */
    sound, /**< Answers to prompts with the parts went on. */
    held   /**< Requests with the parts are held back. */
};

/** @brief One observation of a gateway about the prompts that engines have worked on. */
struct crash_observation {
    std::uint64_t number{0}; /**< Grows with each observation of the gateway. */
    observation_kind kind{observation_kind::ended};
    std::string server;               /**< Incarnation of the engine that ended. */
    std::vector<std::uint64_t> parts; /**< Ids of shared parts of prompts. */
    std::string address{};            /**< Where that incarnation was; not stored. */
};

/** @brief The latest observations of a gateway, oldest first. */
using crash_report = std::vector<crash_observation>;

[[nodiscard]] nlohmann::json to_json(const crash_report &report);

/** @return The report, or an error that names the key. */
[[nodiscard]] base::result<crash_report> parse_crash_report(const store::object &item);

} // namespace dotterelstack::gateway
