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

/** @brief Where the process of a member is found. */
struct member_location {
    std::string host;    /**< A newer incarnation on the same host shows that this one has ended. */
    std::string address; /**< Of its listener for peers. */
};

/** @brief Content of the store object `shares/epoch`. */
struct epoch_object {
    limits::share_epoch epoch;
    std::map<std::string, member_location, std::less<>> places; /**< By entry, of members and outstanding entries. */
    std::string confirmer;    /**< Address of the lease holder that wrote this version. */
    std::uint64_t version{0}; /**< Store version; not part of the value. */
};

/** @return The stored form. */
[[nodiscard]] nlohmann::json to_json(const epoch_object &value);

[[nodiscard]] base::result<epoch_object> parse_epoch(const store::object &item);

/** @return The wire form of a demand and its row. */
[[nodiscard]] nlohmann::json to_json(const limits::share_demand &demand);
[[nodiscard]] nlohmann::json to_json(const limits::share_grant &grant);

/** @brief Reads the wire forms; throws `nlohmann::json::exception` for another shape. */
[[nodiscard]] limits::share_demand parse_demand(const nlohmann::json &value);
[[nodiscard]] limits::share_grant parse_grant(const nlohmann::json &value);

} // namespace dotterelstack::entry
