#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::lease {

/** @brief Content of the store object `lease/{name}`. */
struct lease_record {
    std::string holder;       /**< Incarnation of the holding process. */
    std::uint64_t fence{0};   /**< Store version at acquisition; the fencing token. */
    std::uint64_t renewal{0}; /**< Number of renewals, so that each renewal changes the object. */
    base::duration term{0};   /**< Term by which the holder computes the expiry. */
    bool released{false};     /**< True when the holder has released the lease. */
};

/** @return Store key of a lease. */
[[nodiscard]] std::string lease_key(std::string_view name);

/** @brief Parses a lease object. The acquiring write stores fence 0 because it cannot know the version it will create;
 * 0 is read as that version. */
[[nodiscard]] base::result<lease_record> parse_lease(const store::object &item);

/** @return The stored form. */
[[nodiscard]] nlohmann::json to_json(const lease_record &record);

} // namespace dotterelstack::lease
