#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

#include "base/id.hpp"
#include "store/object_store.hpp"

namespace dotterelstack::store {

/** @brief Member of every stored JSON value that identifies the write which produced it. */
inline constexpr const char *write_id_member = "write_id";

/**
 * @brief Conditional write of a JSON object that resolves an unknown outcome by reading back.
 *
 * The same bytes, with the same write id, are sent again while the object still has the expected version, so that a
 * delayed first copy and the repetition cannot both take effect. A conflict is also checked against the write id,
 * because a transport may have repeated the request by itself.
 *
 * @param value A JSON object; the member `write_id` is added.
 * @param expected Version to replace, or `absent` to create.
 * @return The version written. Errors: `conflict` when another value is current (our write may have been replaced
 * already), `unavailable` when nothing was written, `unknown_outcome` when it could not be resolved: a copy may
 * still arrive, so read the object before deciding.
 */
[[nodiscard]] base::result<std::uint64_t> settled_write(object_store &store, base::id_source &ids, std::string_view key,
                                                        nlohmann::json value, std::uint64_t expected);

/**
 * @brief Parses a stored value.
 * @return The JSON object, or an error naming the key when the value is not one.
 */
[[nodiscard]] base::result<nlohmann::json> parse_value(const object &item);

} // namespace dotterelstack::store
