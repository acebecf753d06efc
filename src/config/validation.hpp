#pragma once

#include "config/declarations.hpp"
#include "settings/problem.hpp"

namespace dotterelstack::config {

/**
 * @brief Checks rules that span several items: references, unique key hashes and models, and rates that match the kind
 * of the service.
 * @param value Declarations whose items are valid by themselves.
 * @param problems Receives every problem.
 */
void validate(const declarations &value, settings::problem_list &problems);

/**
 * @brief Checks the transition between two valid configurations. A key must not be removed, move to another
 * organisation, or become valid again after its withdrawal. A planned change must not restart or change its kind or
 * target.
 */
void validate_step(const declarations &before, const declarations &after, settings::problem_list &problems);

} // namespace dotterelstack::config
