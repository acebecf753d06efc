#pragma once

#include "config/declarations.hpp"
#include "settings/problem.hpp"

namespace dotterelstack::config {

/**
 * @brief Checks what one item alone does not show: references, unique hashes and models, rates that fit the service.
 * @param value Declarations whose items are valid.
 * @param problems Receives every problem.
 */
void validate(const declarations &value, settings::problem_list &problems);

/**
 * @brief Checks a step between two valid configurations. Keys are permanent: none is removed, given to another
 * organisation, or valid again after its withdrawal. Planned changes do not restart or change their target.
 */
void validate_step(const declarations &before, const declarations &after, settings::problem_list &problems);

} // namespace dotterelstack::config
