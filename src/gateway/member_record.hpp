#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.hpp"
#include "gateway/windowed_start_counter.hpp"
#include "speed/speed_record.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::gateway {

/** @brief Prefix of the store keys of gateways; one object for each incarnation. */
inline constexpr std::string_view members_prefix = "gateways/";

/** @brief Record that a gateway publishes about itself in the store. */
struct member_record {
    std::string name;
    std::string peer_address; /**< Address for other gateways. */
    window_counts starts;
    std::uint64_t window{0};      /**< Current one when written, by the gateway's clock; earlier ones are final. */
    speed::speed_record speeds{}; /**< Of servers, as the gateway has measured them; none in records of older form. */
};

[[nodiscard]] nlohmann::json to_json(const member_record &record);

/** @return The record, or an error that names the key. */
[[nodiscard]] base::result<member_record> parse_member(const store::object &item);

/** @brief Asks the gateway at an address for its current record. @return Nothing if it does not answer. */
using member_query = std::function<std::optional<member_record>(std::string_view address)>;

/** @return Store key of the final counts of a window. */
[[nodiscard]] std::string sealed_starts_key(std::uint64_t window);

/** @brief Prefix of the store keys of final counts. */
inline constexpr std::string_view sealed_starts_prefix = "sealed-starts/";

[[nodiscard]] nlohmann::json to_json(const start_counts &counts);

[[nodiscard]] base::result<start_counts> parse_counts(const store::object &item);

} // namespace dotterelstack::gateway
