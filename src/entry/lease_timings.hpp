#pragma once

#include <string>

#include "lease/lease_state_machine.hpp"
#include "settings/entry_settings.hpp"

namespace dotterelstack::entry {

/** @return Settings of a lease, derived from the entry's timing settings. */
[[nodiscard]] lease::lease_settings lease_settings_of(const settings::entry_timings &timings, std::string name,
                                                      std::string holder);

} // namespace dotterelstack::entry
