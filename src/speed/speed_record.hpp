#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "speed/server_speed.hpp"

namespace dotterelstack::speed {

/** @brief What a gateway has measured of servers, by the names of their incarnations. */
using speed_record = std::map<std::string, speed_note, std::less<>>;

/** @brief Greatest number of servers in a record; gateways that see more tell of those that they know best. */
inline constexpr std::size_t max_recorded = 64;

/** @brief Leaves out servers that do not differ clearly from the others, and those beyond `max_recorded`. */
void trim(speed_record &record);

/** @return The measurements of all records together: means weighted by their samples. */
[[nodiscard]] speed_record pooled(std::span<const speed_record> all);

} // namespace dotterelstack::speed
