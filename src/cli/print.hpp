#pragma once

#include <iosfwd>
#include <vector>

#include "config/merge.hpp"
#include "config/risk.hpp"

namespace dotterelstack::cli::internal {

/** @brief Prints one line per change: `+` added, `-` removed, `~` modified, followed by the modified fields. */
void print_changes(std::ostream &out, const std::vector<config::item_change> &changes);

/** @brief Prints one line per risk. */
void print_risks(std::ostream &out, const std::vector<config::risk> &risks);

} // namespace dotterelstack::cli::internal
