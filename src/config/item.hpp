#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/error.hpp"
#include "config/declarations.hpp"
#include "settings/reader.hpp"

namespace dotterelstack::config {

/*
 * An item is the unit in which the configuration is changed and conflicts are detected. Its name consists of a kind and
 * a key: `organisation/ORG`, `key/ID`, `service/NAME`, `row/ORG/SERVICE`, `planned/ID`. Its value is a JSON object.
 */

[[nodiscard]] std::string item_name(const organisation &value);
[[nodiscard]] std::string item_name(const key &value);
[[nodiscard]] std::string item_name(const service &value);
[[nodiscard]] std::string item_name(const row &value);
[[nodiscard]] std::string item_name(const planned_change &value);

void to_json(nlohmann::json &out, const organisation &value);
void to_json(nlohmann::json &out, const key &value);
void to_json(nlohmann::json &out, const service &value);
void to_json(nlohmann::json &out, const row &value);
void to_json(nlohmann::json &out, const planned_change &value);

void read(settings::object_reader &in, organisation &out);
void read(settings::object_reader &in, key &out);
void read(settings::object_reader &in, service &out);
void read(settings::object_reader &in, row &out);
void read(settings::object_reader &in, planned_change &out);

/** @return Name of an enumerator as used in files. */
[[nodiscard]] std::string_view to_text(planned_kind value) noexcept;
[[nodiscard]] std::string_view to_text(planned_state value) noexcept;
[[nodiscard]] std::string_view to_text(key_place value) noexcept;

using item_map = std::map<std::string, nlohmann::json, std::less<>>;

/** @return All items with their values. */
[[nodiscard]] item_map to_items(const declarations &value);

/** @return Value of one item, or null if it is absent. */
[[nodiscard]] nlohmann::json find_item(const declarations &value, std::string_view item);

/**
 * @brief Sets one item, or removes it if `value` is null.
 * @return `invalid_argument` if the value is not valid for the item; `target` is then unchanged.
 */
[[nodiscard]] base::result<void> set_item(declarations &target, std::string_view item, const nlohmann::json &value);

/** @return Short hash of an item's value, used to detect whether it has changed since the files were exported. */
[[nodiscard]] std::string item_digest(const nlohmann::json &value);

} // namespace dotterelstack::config
