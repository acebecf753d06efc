#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "base/error.hpp"
#include "limits/share_epoch.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::entry {

/** @brief Store key of the epoch. */
inline constexpr const char *share_epoch_key = "shares/epoch";

/** @brief Location of a member's process. */
struct member_location {
    std::string host;    /**< Another incarnation on the same host implies that this one has ended. */
    std::string address; /**< Address of its listener for peers. */
};

/** @brief Content of the store object `shares/epoch`. */
struct epoch_object {
    limits::share_epoch epoch;
    std::map<std::string, member_location, std::less<>> locations; /**< Of members and outstanding entries. */
    std::string confirmer;    /**< Address of the lease holder that wrote this version and confirms it. */
    std::uint64_t version{0}; /**< Store version; not part of the value. */
};

/** @return The JSON value that is stored. */
[[nodiscard]] nlohmann::json to_json(const epoch_object &value);

[[nodiscard]] base::result<epoch_object> parse_epoch(const store::object &item);

/** @return The wire format of a demand, without its row. */
[[nodiscard]] nlohmann::json to_json(const limits::share_demand &demand);
[[nodiscard]] nlohmann::json to_json(const limits::share_grant &grant);

/** @brief Parses the wire format; throws `nlohmann::json::exception` for another structure. */
[[nodiscard]] limits::share_demand parse_demand(const nlohmann::json &value);
[[nodiscard]] limits::share_grant parse_grant(const nlohmann::json &value);

} // namespace dotterelstack::entry
